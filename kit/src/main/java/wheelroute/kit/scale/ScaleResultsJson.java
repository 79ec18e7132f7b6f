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

/** Writes and reads the JSON form of {@link ScaleResults}. */
final class ScaleResultsJson {
    private static final int VERSION = 1;
    private static final JsonFactory JSON = new JsonFactory();

    /** Thrown if a text is valid JSON but does not contain valid scale results. */
    static final class InvalidScaleResultsException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidScaleResultsException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    private ScaleResultsJson() {}

    static String write(ScaleResults results) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.setPrettyPrinter(
                    new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));
            json.writeStartObject();
            json.writeNumberField("version", VERSION);
            json.writeStringField("not_judged", results.invalidReason());
            json.writeStringField("machine", results.machine());
            json.writeArrayFieldStart("fits");
            for (LinearFit fit : results.fits().values()) {
                writeFit(json, fit);
            }
            json.writeEndArray();
            json.writeObjectFieldStart("figures");
            for (Map.Entry<String, Double> metric : results.metrics().entrySet()) {
                json.writeNumberField(metric.getKey(), metric.getValue());
            }
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a string failed", e);
        }
        return out.append('\n').toString();
    }

    private static void writeFit(JsonGenerator json, LinearFit fit) throws IOException {
        json.writeStartObject();
        json.writeStringField("name", fit.name());
        json.writeStringField("x", fit.xLabel());
        json.writeStringField("y", fit.yLabel());
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

    static ScaleResults read(String text) throws IOException {
        String invalidReason = "";
        String machine = "";
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        Map<String, Double> metrics = new LinkedHashMap<>();
        try (JsonParser json = JSON.createParser(text)) {
            require(json.nextToken() == JsonToken.START_OBJECT, "expected a JSON object");
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String name = json.currentName();
                json.nextToken();
                switch (name) {
                    case "version" -> requireVersion(json.getIntValue());
                    case "not_judged" -> invalidReason = json.getText();
                    case "machine" -> machine = json.getText();
                    case "fits" -> readFits(json, fits);
                    case "figures" -> readMetrics(json, metrics);
                    default -> json.skipChildren();
                }
            }
        } catch (IllegalArgumentException e) {
            throw new InvalidScaleResultsException(e.getMessage(), e);
        }
        return new ScaleResults(invalidReason, machine, fits, metrics);
    }

    private static void requireVersion(int version) throws InvalidScaleResultsException {
        require(version == VERSION, "unsupported version " + version + ", expected " + VERSION);
    }

    private static void readFits(JsonParser json, Map<String, LinearFit> fits) throws IOException {
        while (json.nextToken() != JsonToken.END_ARRAY) {
            LinearFit fit = readFit(json);
            fits.put(fit.name(), fit);
        }
    }

    private static LinearFit readFit(JsonParser json) throws IOException {
        String name = "";
        String xLabel = "";
        String yLabel = "";
        List<LinearFit.Point> points = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "name" -> name = json.getText();
                case "x" -> xLabel = json.getText();
                case "y" -> yLabel = json.getText();
                case "points" -> readPoints(json, points);
                default -> json.skipChildren();
            }
        }
        return LinearFit.of(name, xLabel, yLabel, points);
    }

    private static void readPoints(JsonParser json, List<LinearFit.Point> points)
            throws IOException {
        while (json.nextToken() != JsonToken.END_ARRAY) {
            json.nextToken();
            double x = json.getDoubleValue();
            json.nextToken();
            points.add(new LinearFit.Point(x, json.getDoubleValue()));
            require(
                    json.nextToken() == JsonToken.END_ARRAY,
                    "expected a pair of numbers for each point");
        }
    }

    private static void readMetrics(JsonParser json, Map<String, Double> metrics)
            throws IOException {
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String key = json.currentName();
            json.nextToken();
            metrics.put(key, json.getDoubleValue());
        }
    }

    private static void require(boolean condition, String message)
            throws InvalidScaleResultsException {
        if (!condition) {
            throw new InvalidScaleResultsException(message, null);
        }
    }
}
