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

/** What was learned, as one line of JSON, under the list's names of workers. */
public final class LearnedStateCodec {
    private static final JsonFactory JSON = new JsonFactory();

    /** Three figures a sample, and no measurement keeps more samples than this. */
    private static final int MOST_FIGURES = 3 * 64;

    private LearnedStateCodec() {}

    /** Workers that have no name any more are left out. */
    public static String encode(LearnedState learned, Function<Ids.Worker, String> names) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeObjectFieldStart("workers");
            for (Map.Entry<Ids.Worker, LearnedState.WorkerSamples> worker :
                    learned.workers().entrySet()) {
                String name = names.apply(worker.getKey());
                if (name != null) {
                    json.writeObjectFieldStart(name);
                    figures(json, "runs", worker.getValue().runs());
                    figures(json, "waits", worker.getValue().waits());
                    figures(json, "failures", worker.getValue().failures());
                    json.writeEndObject();
                }
            }
            json.writeEndObject();
            json.writeObjectFieldStart("models");
            for (Map.Entry<Ids.Model, LearnedState.ModelSamples> model :
                    learned.models().entrySet()) {
                json.writeObjectFieldStart(model.getKey().name());
                json.writeNumberField("slots", model.getValue().slots());
                figures(json, "runs", model.getValue().runs());
                figures(json, "waits", model.getValue().waits());
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeObjectFieldStart("hints");
            for (Map.Entry<Ids.RequestClass, double[]> offering : learned.estimates().entrySet()) {
                figures(json, offering.getKey().name(), offering.getValue());
            }
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toString();
    }

    private static void figures(JsonGenerator json, String name, double[] figures)
            throws IOException {
        json.writeFieldName(name);
        json.writeArray(figures, 0, figures.length);
    }

    /** Workers that are not on the list by now are left out; any fault makes all of it unusable. */
    public static LearnedState decode(byte[] text, Function<String, Ids.Worker> names)
            throws IOException {
        LearnedState learned = new LearnedState(new HashMap<>(), new HashMap<>(), new HashMap<>());
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String part = json.currentName();
                expect(json.nextToken() == JsonToken.START_OBJECT);
                while (json.nextToken() == JsonToken.FIELD_NAME) {
                    String name = json.currentName();
                    json.nextToken();
                    switch (part) {
                        case "workers" -> worker(json, names.apply(name), learned);
                        case "models" -> model(json, new Ids.Model(name), learned);
                        case "hints" ->
                                learned.estimates().put(new Ids.RequestClass(name), figures(json));
                        default -> json.skipChildren();
                    }
                }
            }
        }
        return learned;
    }

    private static void worker(JsonParser json, Ids.Worker worker, LearnedState learned)
            throws IOException {
        Map<String, double[]> figures = new HashMap<>();
        fields(json, figures);
        if (worker != null) {
            learned.workers()
                    .put(
                            worker,
                            new LearnedState.WorkerSamples(
                                    positive(figures.get("runs")),
                                    known(figures.get("waits")),
                                    known(figures.get("failures"))));
        }
    }

    private static void model(JsonParser json, Ids.Model model, LearnedState learned)
            throws IOException {
        Map<String, double[]> figures = new HashMap<>();
        int slots = fields(json, figures);
        learned.models()
                .put(
                        model,
                        new LearnedState.ModelSamples(
                                slots, positive(figures.get("runs")), known(figures.get("waits"))));
    }

    /**
     * The arrays of an object by their names; the one whole number, if there is one, is returned.
     */
    private static int fields(JsonParser json, Map<String, double[]> figures) throws IOException {
        int slots = 0;
        expect(json.currentToken() == JsonToken.START_OBJECT);
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                slots = json.getIntValue();
                expect(slots >= 0);
            } else {
                figures.put(name, figures(json));
            }
        }
        return slots;
    }

    private static double[] figures(JsonParser json) throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        List<Double> figures = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken().isNumeric() && figures.size() < MOST_FIGURES);
            figures.add(json.getDoubleValue());
            expect(Double.isFinite(figures.get(figures.size() - 1)));
        }
        expect(figures.size() % 3 == 0);
        return figures.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private static double[] known(double[] figures) throws IOException {
        expect(figures != null);
        return figures;
    }

    /** Work and the time it took: speeds are quotients of them. */
    private static double[] positive(double[] figures) throws IOException {
        for (int i = 0; i < known(figures).length; i++) {
            expect(i % 3 == 0 || figures[i] > 0);
        }
        return figures;
    }

    private static void expect(boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("what was learned is not as this version writes it");
        }
    }
}
