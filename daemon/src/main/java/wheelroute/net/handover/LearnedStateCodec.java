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
 * Encodes the state that the policy has learned as one line of JSON, and decodes it. Workers are
 * identified by their names in discovery, because the ids of workers differ between processes.
 * Stateless and thread-safe.
 */
public final class LearnedStateCodec {
    private static final JsonFactory JSON = new JsonFactory();

    /** Number of values in a sample: its age, and two figures that depend on the kind of sample. */
    private static final int VALUES_PER_SAMPLE = 3;

    /** Maximum number of samples in an array that is accepted; no measurement keeps as many. */
    private static final int MAX_SAMPLES = 64;

    private static final int MAX_VALUES = VALUES_PER_SAMPLE * MAX_SAMPLES;

    private static final String WORKERS = "workers";
    private static final String MODELS = "models";
    private static final String ESTIMATES = "hints";
    private static final String SLOTS = "slots";

    /**
     * Maximum number of slots that is accepted. No worker has as many, so a larger number is an
     * error.
     */
    private static final int MAX_SLOTS = 1 << 16;

    private static final String RUNS = "runs";
    private static final String WAITS = "waits";
    private static final String FAILURES = "failures";

    private LearnedStateCodec() {}

    /**
     * Encodes learned state.
     *
     * @param names returns the name of a worker in discovery, or null to omit the worker
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
            throw new UncheckedIOException("failed to write JSON to a string", e);
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
                encodeSamples(json, RUNS, worker.getValue().runs());
                encodeSamples(json, WAITS, worker.getValue().waits());
                encodeSamples(json, FAILURES, worker.getValue().failures());
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
            encodeSamples(json, RUNS, model.getValue().runs());
            encodeSamples(json, WAITS, model.getValue().waits());
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private static void encodeEstimates(JsonGenerator json, LearnedState learned)
            throws IOException {
        json.writeObjectFieldStart(ESTIMATES);
        for (Map.Entry<Ids.RequestClass, double[]> requestClass : learned.estimates().entrySet()) {
            encodeSamples(json, requestClass.getKey().name(), requestClass.getValue());
        }
        json.writeEndObject();
    }

    private static void encodeSamples(JsonGenerator json, String name, double[] samples)
            throws IOException {
        json.writeFieldName(name);
        json.writeArray(samples, 0, samples.length);
    }

    /**
     * Decodes learned state. Unknown sections are ignored.
     *
     * @param names returns the worker with a name in discovery, or null to omit the worker
     * @throws MalformedLearnedStateException if a value does not have the form in which this
     *     version encodes it
     * @throws IOException if the text is not JSON
     */
    public static LearnedState decode(byte[] text, Function<String, Ids.Worker> names)
            throws IOException {
        LearnedState learned = new LearnedState(new HashMap<>(), new HashMap<>(), new HashMap<>());
        try (JsonParser json = JSON.createParser(text)) {
            expect(
                    json.nextToken() == JsonToken.START_OBJECT,
                    "learned state is not a JSON object");
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String section = json.currentName();
                expect(
                        json.nextToken() == JsonToken.START_OBJECT,
                        "a section of the learned state is not an object");
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
                    learned.estimates().put(new Ids.RequestClass(name), decodeSamples(json));
            default -> json.skipChildren();
        }
    }

    /**
     * The decoded fields of a worker or model.
     *
     * @param slots the number of slots; 0 if the field is missing
     * @param samplesByField the arrays of samples by the names of their fields
     */
    private record Fields(int slots, Map<String, double[]> samplesByField) {
        double[] requiredSamples(String name) throws MalformedLearnedStateException {
            expect(
                    samplesByField.containsKey(name),
                    "an array of samples is missing for a worker or model");
            return samplesByField.get(name);
        }

        /**
         * Returns samples whose two times must be positive, because speeds are computed as
         * quotients of them.
         */
        double[] requiredTimeSamples(String name) throws MalformedLearnedStateException {
            double[] samples = requiredSamples(name);
            for (int i = 0; i < samples.length; i++) {
                boolean isAge = i % VALUES_PER_SAMPLE == 0;
                expect(isAge || samples[i] > 0, "a time in a sample is not positive");
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
                                    fields.requiredTimeSamples(RUNS),
                                    fields.requiredSamples(WAITS),
                                    fields.requiredSamples(FAILURES)));
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
                                fields.requiredTimeSamples(RUNS),
                                fields.requiredSamples(WAITS)));
    }

    private static Fields decodeFields(JsonParser json) throws IOException {
        int slots = 0;
        Map<String, double[]> samplesByField = new HashMap<>();
        expect(json.currentToken() == JsonToken.START_OBJECT, "a worker or model is not an object");
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                slots = json.getIntValue();
                expect(slots >= 0 && slots <= MAX_SLOTS, "the number of slots is out of range");
            } else {
                samplesByField.put(name, decodeSamples(json));
            }
        }
        return new Fields(slots, samplesByField);
    }

    private static double[] decodeSamples(JsonParser json) throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY, "samples are not an array");
        List<Double> values = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(
                    json.currentToken().isNumeric(),
                    "an array of samples has an element that is not a number");
            expect(values.size() < MAX_VALUES, "an array has too many samples");
            double value = json.getDoubleValue();
            expect(Double.isFinite(value), "a number in a sample is not finite");
            values.add(value);
        }
        expect(values.size() % VALUES_PER_SAMPLE == 0, "the last sample of an array is incomplete");
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private static void expect(boolean condition, String message)
            throws MalformedLearnedStateException {
        if (!condition) {
            throw new MalformedLearnedStateException(message);
        }
    }
}
