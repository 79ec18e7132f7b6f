package wheelroute.kit.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a scale run has found.
 *
 * @param notJudged why nothing may be concluded from it; empty where the machine was quiet enough
 * @param machine what it ran on
 * @param fits by their names
 * @param figures what was measured once, by name
 */
public record ScaleResults(
        String notJudged,
        String machine,
        Map<String, LinearFit> fits,
        Map<String, Double> figures) {
    private static final int VERSION = 1;
    private static final JsonFactory JSON = new JsonFactory();

    /** The fitted line of this name; there must be one. */
    public LinearFit fit(String name) {
        LinearFit fit = fits.get(name);
        if (fit == null) {
            throw new IllegalArgumentException("the slopes have no '" + name + "'");
        }
        return fit;
    }

    /** The single figure of this name; there must be one. */
    public double figure(String name) {
        Double figure = figures.get(name);
        if (figure == null) {
            throw new IllegalArgumentException("the slopes have no '" + name + "'");
        }
        return figure;
    }

    /** The results as JSON. */
    public String json() {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.setPrettyPrinter(
                    new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));
            json.writeStartObject();
            json.writeNumberField("version", VERSION);
            json.writeStringField("not_judged", notJudged);
            json.writeStringField("machine", machine);
            json.writeArrayFieldStart("fits");
            for (LinearFit fit : fits.values()) {
                json.writeStartObject();
                json.writeStringField("name", fit.name());
                json.writeStringField("x", fit.x());
                json.writeStringField("y", fit.y());
                json.writeArrayFieldStart("points");
                for (LinearFit.Point point : fit.points()) {
                    json.writeArray(new double[] {point.x(), point.y()}, 0, 2);
                }
                json.writeEndArray();
                json.writeNumberField("intercept", fit.intercept());
                json.writeNumberField("slope", fit.slope());
                json.writeNumberField("intercept_error", fit.interceptError());
                json.writeNumberField("slope_error", fit.slopeError());
                json.writeNumberField("r2", fit.r2());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeObjectFieldStart("figures");
            for (Map.Entry<String, Double> figure : figures.entrySet()) {
                json.writeNumberField(figure.getKey(), figure.getValue());
            }
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a text cannot be written to", e);
        }
        return out.append('\n').toString();
    }

    /** The lines are drawn anew from the points: a slope that was changed by hand has no effect. */
    public static ScaleResults read(String text) throws IOException {
        String notJudged = "";
        String machine = "";
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        Map<String, Double> figures = new LinkedHashMap<>();
        try (JsonParser json = JSON.createParser(text)) {
            expect(json.nextToken() == JsonToken.START_OBJECT, "is no object");
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String name = json.currentName();
                json.nextToken();
                switch (name) {
                    case "version" -> expect(json.getIntValue() == VERSION, "has another version");
                    case "not_judged" -> notJudged = json.getText();
                    case "machine" -> machine = json.getText();
                    case "fits" -> {
                        while (json.nextToken() != JsonToken.END_ARRAY) {
                            LinearFit fit = fit(json);
                            fits.put(fit.name(), fit);
                        }
                    }
                    case "figures" -> {
                        while (json.nextToken() != JsonToken.END_OBJECT) {
                            String figure = json.currentName();
                            json.nextToken();
                            figures.put(figure, json.getDoubleValue());
                        }
                    }
                    default -> json.skipChildren();
                }
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        return new ScaleResults(notJudged, machine, fits, figures);
    }

    private static LinearFit fit(JsonParser json) throws IOException {
        String name = "";
        String x = "";
        String y = "";
        List<LinearFit.Point> points = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "name" -> name = json.getText();
                case "x" -> x = json.getText();
                case "y" -> y = json.getText();
                case "points" -> {
                    while (json.nextToken() != JsonToken.END_ARRAY) {
                        json.nextToken();
                        double at = json.getDoubleValue();
                        json.nextToken();
                        points.add(new LinearFit.Point(at, json.getDoubleValue()));
                        expect(
                                json.nextToken() == JsonToken.END_ARRAY,
                                "has a point that is no pair");
                    }
                }
                default -> json.skipChildren();
            }
        }
        return LinearFit.of(name, x, y, points);
    }

    private static void expect(boolean holds, String fault) throws IOException {
        if (!holds) {
            throw new IOException(fault);
        }
    }
}
