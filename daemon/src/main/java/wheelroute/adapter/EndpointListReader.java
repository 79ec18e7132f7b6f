package wheelroute.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;

/**
 * Reads endpoint lists. A list begins with a line that holds its type and length; one line for each
 * endpoint follows.
 */
final class EndpointListReader {
    enum ListType {
        /** A complete list from discovery. */
        SNAPSHOT,
        /** A complete list from a cache, which may be out of date. */
        CACHED,
        /** A list from discovery of only those endpoints that have changed. */
        DELTA,
        /** No list, because a poll of discovery failed. */
        FAILED
    }

    /** An endpoint list; without endpoints if its type is {@link ListType#FAILED}. */
    record EndpointList(ListType type, List<Endpoint> endpoints) {
        /** Returns whether the list is a response of discovery. */
        boolean isResponse() {
            return type == ListType.SNAPSHOT || type == ListType.DELTA;
        }

        /** Returns whether endpoints that are missing from the list have been removed. */
        boolean isComplete() {
            return type == ListType.SNAPSHOT || type == ListType.CACHED;
        }
    }

    private final LineReader line;

    EndpointListReader(LineReader line) {
        this.line = line;
    }

    /**
     * Reads the rest of the first line of a list and the lines of its endpoints. The caller checks
     * the end of the last line.
     */
    EndpointList read() throws IOException, WireException {
        ListType type = readListType();
        line.readLong("stamp", 0);
        long count = line.hasMore() ? line.readLong("items", 0) : 0;
        line.expectEnd();
        List<Endpoint> endpoints = new ArrayList<>();
        if (type == ListType.FAILED) {
            return new EndpointList(type, endpoints);
        }
        for (long i = 0; i < count; i++) {
            if (!line.next() || line.isBlank() || !line.readText("message").equals("ROW")) {
                throw line.error("expected " + count + " ROW lines in the list, got " + i);
            }
            endpoints.add(readEndpoint());
            if (i < count - 1) {
                line.expectEnd();
            }
        }
        return new EndpointList(type, endpoints);
    }

    private ListType readListType() throws WireException {
        String word = line.readText("form");
        return switch (word) {
            case "F" -> ListType.SNAPSHOT;
            case "C" -> ListType.CACHED;
            case "D" -> ListType.DELTA;
            case "X" -> ListType.FAILED;
            default -> throw line.error("unknown form of endpoint list '" + word + "'");
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
            throw line.error("unknown readiness, expected active, leaving or left");
        }
        double startedAt = startMicros == 0 ? Double.NaN : WireMapping.seconds(startMicros);
        return new Endpoint(worker, model, size, zone, startedAt, cell, state);
    }
}
