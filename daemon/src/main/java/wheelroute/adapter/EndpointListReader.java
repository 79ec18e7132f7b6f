package wheelroute.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;

/** Reads endpoint lists: a line with form and length, followed by a line for each endpoint. */
final class EndpointListReader {
    enum Form {
        /** All endpoints, from discovery. */
        SNAPSHOT,
        /** All endpoints of an earlier list, which was cached. */
        CACHED,
        /** Only the endpoints that have changed, from discovery. */
        DELTA,
        /** None, as polling discovery failed. */
        FAILED
    }

    /** An endpoint list. */
    record EndpointList(Form form, List<Endpoint> endpoints) {
        /** Whether discovery has sent the list. */
        boolean isResponse() {
            return form == Form.SNAPSHOT || form == Form.DELTA;
        }

        /** Whether endpoints that are not in the list have been removed. */
        boolean isComplete() {
            return form == Form.SNAPSHOT || form == Form.CACHED;
        }
    }

    private final LineReader line;

    EndpointListReader(LineReader line) {
        this.line = line;
    }

    /**
     * Reads the rest of the list's first line and all its endpoints; the last line is not ended.
     */
    EndpointList read() throws IOException, WireException {
        Form form = readForm();
        line.readLong("stamp", 0);
        long count = line.hasMore() ? line.readLong("items", 0) : 0;
        line.expectEnd();
        List<Endpoint> endpoints = new ArrayList<>();
        if (form == Form.FAILED) {
            return new EndpointList(form, endpoints);
        }
        for (long i = 0; i < count; i++) {
            if (!line.next() || line.isBlank() || !line.readText("message").equals("ROW")) {
                throw line.error("the list has " + count + " entries, a ROW is missing");
            }
            endpoints.add(readEndpoint());
            if (i < count - 1) {
                line.expectEnd();
            }
        }
        return new EndpointList(form, endpoints);
    }

    private Form readForm() throws WireException {
        String word = line.readText("form");
        return switch (word) {
            case "F" -> Form.SNAPSHOT;
            case "C" -> Form.CACHED;
            case "D" -> Form.DELTA;
            case "X" -> Form.FAILED;
            default -> throw line.error("unknown form of list '" + word + "'");
        };
    }

    private Endpoint readEndpoint() throws WireException {
        Ids.Model model = new Ids.Model(line.readText("hw"));
        double size = line.readDouble("power_hint", 1);
        Ids.Zone zone = new Ids.Zone(line.readText("region_part"));
        long startMicros = line.readLong("boot_time_us", 0);
        Ids.Worker worker = new Ids.Worker(line.readLong("worker"));
        Ids.Cell cell = new Ids.Cell(line.readLong("cohort", 0));
        Endpoint.State state = WireMapping.endpointState(line.readText("readiness"));
        if (state == null) {
            throw line.error("unknown readiness");
        }
        double startedAt = startMicros == 0 ? Double.NaN : WireMapping.seconds(startMicros);
        return new Endpoint(worker, model, size, zone, startedAt, cell, state);
    }
}
