package wheelroute.net.handover;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;

/**
 * Reads and writes what the policy has learned as one line of JSON. Workers have discovery's names
 * there, as each process has its own ids for them.
 */
public final class LearnedStateCodec {
    private static final JsonFactory JSON = new JsonFactory();

    /** How many numbers one sample has. */
    private static final int SAMPLE_SIZE = 3;

    /** No measurement keeps more than 64 samples. */
    private static final int MAX_NUMBERS = SAMPLE_SIZE * 64;

    private static final String WORKERS = "workers";
    private static final String MODELS = "models";
    private static final String ESTIMATES = "hints";
    private static final String SLOTS = "slots";

    /** More than any worker has: whoever tells more has told something else. */
    private static final int MAX_SLOTS = 1 << 16;

    private static final String RUNS = "runs";
    private static final String WAITS = "waits";
    private static final String FAILURES = "failures";

    private LearnedStateCodec() {}

    /**
     * Writes the state.
     *
     * @param names discovery's name of a worker, or null; workers without a name are left out
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
            throw new IllegalStateException("writing to memory failed", e);
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
     * Reads a state.
     *
     * @param names the worker of a name, or null; such workers are left out
     * @throws IOException if anything is not as this version writes it; then nothing is usable
     */
    public static LearnedState decode(byte[] text, Function<String, Ids.Worker> names)
            throws IOException {
        LearnedState learned = new LearnedState(new HashMap<>(), new HashMap<>(), new HashMap<>());
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String section = json.currentName();
                expect(json.nextToken() == JsonToken.START_OBJECT);
                while (json.nextToken() == JsonToken.FIELD_NAME) {
                    String name = json.currentName();
                    json.nextToken();
                    switch (section) {
                        case WORKERS -> decodeWorker(json, names.apply(name), learned);
                        case MODELS -> decodeModel(json, new Ids.Model(name), learned);
                        case ESTIMATES ->
                                learned.estimates()
                                        .put(new Ids.RequestClass(name), decodeNumbers(json));
                        default -> json.skipChildren();
                    }
                }
            }
        }
        return learned;
    }

    private static void decodeWorker(JsonParser json, Ids.Worker worker, LearnedState learned)
            throws IOException {
        Map<String, double[]> numbers = new HashMap<>();
        decodeFields(json, numbers);
        if (worker != null) {
            learned.workers()
                    .put(
                            worker,
                            new LearnedState.WorkerSamples(
                                    positiveTimes(numbers.get(RUNS)),
                                    required(numbers.get(WAITS)),
                                    required(numbers.get(FAILURES))));
        }
    }

    private static void decodeModel(JsonParser json, Ids.Model model, LearnedState learned)
            throws IOException {
        Map<String, double[]> numbers = new HashMap<>();
        int slots = decodeFields(json, numbers);
        learned.models()
                .put(
                        model,
                        new LearnedState.ModelSamples(
                                slots,
                                positiveTimes(numbers.get(RUNS)),
                                required(numbers.get(WAITS))));
    }

    /** Adds the arrays of an object by their names; returns its one integer, the slots, or 0. */
    private static int decodeFields(JsonParser json, Map<String, double[]> numbers)
            throws IOException {
        int slots = 0;
        expect(json.currentToken() == JsonToken.START_OBJECT);
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                slots = json.getIntValue();
                expect(slots >= 0 && slots <= MAX_SLOTS);
            } else {
                numbers.put(name, decodeNumbers(json));
            }
        }
        return slots;
    }

    private static double[] decodeNumbers(JsonParser json) throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        List<Double> numbers = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken().isNumeric() && numbers.size() < MAX_NUMBERS);
            numbers.add(json.getDoubleValue());
            expect(Double.isFinite(numbers.get(numbers.size() - 1)));
        }
        expect(numbers.size() % SAMPLE_SIZE == 0);
        return numbers.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private static double[] required(double[] numbers) throws IOException {
        expect(numbers != null);
        return numbers;
    }

    /** All numbers of a sample but the first must be positive: speeds are quotients of them. */
    private static double[] positiveTimes(double[] numbers) throws IOException {
        for (int i = 0; i < required(numbers).length; i++) {
            expect(i % SAMPLE_SIZE == 0 || numbers[i] > 0);
        }
        return numbers;
    }

    private static void expect(boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("what was learned is not as this version writes it");
        }
    }
}
