package wheelroute.net.handover;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;

/**
 * Encodes and decodes what the policy has learned, as one line of JSON. Workers are identified by
 * discovery's names, because the ids differ between processes. Stateless, for any thread.
 */
public final class LearnedStateCodec {
    private static final JsonFactory JSON = new JsonFactory();

    /** The number of numbers in one sample. */
    private static final int SAMPLE_SIZE = 3;

    /** More samples than any measurement keeps. */
    private static final int MAX_SAMPLES = 64;

    private static final int MAX_NUMBERS = SAMPLE_SIZE * MAX_SAMPLES;

    private static final String WORKERS = "workers";
    private static final String MODELS = "models";
    private static final String ESTIMATES = "hints";
    private static final String SLOTS = "slots";

    /** More slots than any worker has; a larger number must be something else. */
    private static final int MAX_SLOTS = 1 << 16;

    private static final String RUNS = "runs";
    private static final String WAITS = "waits";
    private static final String FAILURES = "failures";

    private LearnedStateCodec() {}

    /**
     * Encodes the state.
     *
     * @param names returns discovery's name of a worker, or null, which leaves the worker out
     */
    public static String encode(LearnedState learned, Function<Ids.Worker, String> names) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            encodeWorkers(json, learned, names);
            encodeModels(json, learned);
            encodeEstimates(json, learned);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to a string", e);
        }
        return out.toString();
    }

    private static void encodeWorkers(
            JsonGenerator json, LearnedState learned, Function<Ids.Worker, String> names)
            throws IOException {
        json.writeObjectFieldStart(WORKERS);
        for (Map.Entry<Ids.Worker, LearnedState.WorkerSamples> worker :
                learned.workers().entrySet()) {
            String name = names.apply(worker.getKey());
            if (name != null) {
                json.writeObjectFieldStart(name);
                encodeNumbers(json, RUNS, worker.getValue().runs());
                encodeNumbers(json, WAITS, worker.getValue().waits());
                encodeNumbers(json, FAILURES, worker.getValue().failures());
                json.writeEndObject();
            }
        }
        json.writeEndObject();
    }

    private static void encodeModels(JsonGenerator json, LearnedState learned) throws IOException {
        json.writeObjectFieldStart(MODELS);
        for (Map.Entry<Ids.Model, LearnedState.ModelSamples> model : learned.models().entrySet()) {
            json.writeObjectFieldStart(model.getKey().name());
            json.writeNumberField(SLOTS, model.getValue().slots());
            encodeNumbers(json, RUNS, model.getValue().runs());
            encodeNumbers(json, WAITS, model.getValue().waits());
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private static void encodeEstimates(JsonGenerator json, LearnedState learned)
            throws IOException {
        json.writeObjectFieldStart(ESTIMATES);
        for (Map.Entry<Ids.RequestClass, double[]> requestClass : learned.estimates().entrySet()) {
            encodeNumbers(json, requestClass.getKey().name(), requestClass.getValue());
        }
        json.writeEndObject();
    }

    private static void encodeNumbers(JsonGenerator json, String name, double[] numbers)
            throws IOException {
        json.writeFieldName(name);
        json.writeArray(numbers, 0, numbers.length);
    }

    /**
     * Decodes a state.
     *
     * @param names returns the worker of a name, or null, which leaves the worker out
     * @throws MalformedLearnedStateException if a value is not as this version encodes it
     * @throws IOException if the text is not JSON
     */
    public static LearnedState decode(byte[] text, Function<String, Ids.Worker> names)
            throws IOException {
        LearnedState learned = new LearnedState(new HashMap<>(), new HashMap<>(), new HashMap<>());
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT, "the state is not an object");
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String section = json.currentName();
                expect(json.nextToken() == JsonToken.START_OBJECT, "a section is not an object");
                while (json.nextToken() == JsonToken.FIELD_NAME) {
                    String name = json.currentName();
                    json.nextToken();
                    decodeField(json, section, name, names, learned);
                }
            }
        }
        return learned;
    }

    private static void decodeField(
            JsonParser json,
            String section,
            String name,
            Function<String, Ids.Worker> names,
            LearnedState learned)
            throws IOException {
        switch (section) {
            case WORKERS -> decodeWorker(json, names.apply(name), learned);
            case MODELS -> decodeModel(json, new Ids.Model(name), learned);
            case ESTIMATES ->
                    learned.estimates().put(new Ids.RequestClass(name), decodeNumbers(json));
            default -> json.skipChildren();
        }
    }

    /**
     * The fields of a worker or model.
     *
     * @param slots 0 if there is no such field
     * @param numbers the arrays, by the names of their fields
     */
    private record Fields(int slots, Map<String, double[]> numbers) {
        double[] required(String name) throws MalformedLearnedStateException {
            expect(numbers.containsKey(name), "a field is missing");
            return numbers.get(name);
        }

        /** Returns samples whose times must be positive, as speeds are quotients of them. */
        double[] requiredTimes(String name) throws MalformedLearnedStateException {
            double[] samples = required(name);
            for (int i = 0; i < samples.length; i++) {
                boolean isAge = i % SAMPLE_SIZE == 0;
                expect(isAge || samples[i] > 0, "a time is not positive");
            }
            return samples;
        }
    }

    private static void decodeWorker(JsonParser json, Ids.Worker worker, LearnedState learned)
            throws IOException {
        Fields fields = decodeFields(json);
        if (worker != null) {
            learned.workers()
                    .put(
                            worker,
                            new LearnedState.WorkerSamples(
                                    fields.requiredTimes(RUNS),
                                    fields.required(WAITS),
                                    fields.required(FAILURES)));
        }
    }

    private static void decodeModel(JsonParser json, Ids.Model model, LearnedState learned)
            throws IOException {
        Fields fields = decodeFields(json);
        learned.models()
                .put(
                        model,
                        new LearnedState.ModelSamples(
                                fields.slots(),
                                fields.requiredTimes(RUNS),
                                fields.required(WAITS)));
    }

    private static Fields decodeFields(JsonParser json) throws IOException {
        int slots = 0;
        Map<String, double[]> numbers = new HashMap<>();
        expect(json.currentToken() == JsonToken.START_OBJECT, "a worker or model is not an object");
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                slots = json.getIntValue();
                expect(slots >= 0 && slots <= MAX_SLOTS, "the number of slots is out of range");
            } else {
                numbers.put(name, decodeNumbers(json));
            }
        }
        return new Fields(slots, numbers);
    }

    private static double[] decodeNumbers(JsonParser json) throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY, "samples are not an array");
        List<Double> numbers = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken().isNumeric(), "a sample is not a number");
            expect(numbers.size() < MAX_NUMBERS, "there are too many samples");
            double number = json.getDoubleValue();
            expect(Double.isFinite(number), "a sample is not finite");
            numbers.add(number);
        }
        expect(numbers.size() % SAMPLE_SIZE == 0, "a sample is incomplete");
        return numbers.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private static void expect(boolean holds, String fault) throws MalformedLearnedStateException {
        if (!holds) {
            throw new MalformedLearnedStateException(fault);
        }
    }
}
