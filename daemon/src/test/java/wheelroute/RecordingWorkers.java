package wheelroute;

import static wheelroute.net.HttpMessages.RESPONSE_HEAD;
import static wheelroute.net.HttpMessages.readMessage;
import static wheelroute.net.HttpMessages.send;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stub workers in cells that record every attempt by its idempotency key, and respond to the first
 * attempt of a key as a test demands. They succeed in all later attempts at once.
 */
final class RecordingWorkers {
    private static final Pattern ID = Pattern.compile("X-Request-ID: (\\S+)");
    private static final Pattern KEY = Pattern.compile("Idempotency-Key: (\\S+)");
    private static final int BACKLOG = 1024;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int ZONES = 2;

    /** A busy machine may record the end of an attempt later than the next one. */
    private static final double MAX_RECORDING_DELAY_SECONDS = 0.3;

    /** How a worker responds to the first attempt of a key. */
    enum FirstResponse {
        SUCCEEDED("done"),
        KILLED("lost"),
        FAILED("failed"),
        HANDED_BACK("returned"),
        /** No response before the dispatcher closes the connection. */
        NONE("");

        private final String state;

        FirstResponse(String state) {
            this.state = state;
        }
    }

    /** An attempt, from its arrival at a worker. Times are in seconds of the monotonic clock. */
    static final class RecordedAttempt {
        final String id;
        final int cell;
        final double arrivedAt = now();
        volatile double endedAt = Double.POSITIVE_INFINITY;
        volatile boolean neverRan;

        RecordedAttempt(String id, int cell) {
            this.id = id;
            this.cell = cell;
        }

        @Override
        public String toString() {
            return String.format(
                    "%s in cell %d, %.3f to %.3f%s",
                    id, cell, arrivedAt, endedAt, neverRan ? " (never ran)" : "");
        }
    }

    private final Collection<AutoCloseable> resources;
    private final Map<String, List<RecordedAttempt>> attempts = new TreeMap<>();
    private final Function<String, Plan> plans;

    /**
     * What happens to the first attempt of a key.
     *
     * @param millis the time until the response
     */
    record Plan(FirstResponse response, int millis) {}

    /**
     * The terms of a request class.
     *
     * @param groups the number of groups among the cells, of which the cell's number modulo this is
     *     one; 1 if all workers recognize each other's keys
     * @param windowSeconds 0 if the class has no keys
     */
    record Terms(int groups, double windowSeconds, boolean mayHedge) {}

    /**
     * Creates workers that are not started yet.
     *
     * @param plans returns the plan for a key
     */
    RecordingWorkers(Collection<AutoCloseable> resources, Function<String, Plan> plans) {
        this.resources = resources;
        this.plans = plans;
    }

    private static double now() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }

    /** Starts workers and returns the entries of the endpoint list, as JSON. */
    String start(int cells, int workersPerCell) throws IOException {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < cells * workersPerCell; i++) {
            int cell = i % cells;
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            resources.add(server);
            BackgroundTask.acceptAll(server, resources, socket -> serve(socket, cell));
            entries.add(
                    "{\"id\":\"w"
                            + i
                            + "\",\"addr\":\"127.0.0.1:"
                            + server.getLocalPort()
                            + "\",\"zone\":\"z"
                            + cell % ZONES
                            + "\",\"kind\":\"m\",\"cell\":"
                            + cell
                            + ",\"state\":\"ready\"}");
        }
        return String.join(",", entries);
    }

    private void serve(Socket socket, int cell) throws IOException {
        while (true) {
            String message = readMessage(socket.getInputStream());
            String id = find(ID, message);
            String key = find(KEY, message).isEmpty() ? id : find(KEY, message);
            RecordedAttempt attempt = new RecordedAttempt(id, cell);
            boolean first = add(key, attempt);
            Plan plan = first ? plans.apply(key) : new Plan(FirstResponse.SUCCEEDED, 0);
            FirstResponse response = plan.response;
            int waitMillis = response == FirstResponse.NONE ? 0 : Math.max(1, plan.millis);
            if (first && isClosedWithin(socket, waitMillis)) {
                attempt.endedAt = now();
                return;
            }
            // Recorded before the response, because the next attempt may follow at once.
            attempt.neverRan = response == FirstResponse.HANDED_BACK;
            attempt.endedAt = now();
            send(socket, response(attempt.id, response));
        }
    }

    /** Waits, without a limit if it is 0, and returns whether the dispatcher has closed. */
    private static boolean isClosedWithin(Socket socket, int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(0);
            return false;
        }
    }

    private static String response(String id, FirstResponse response) {
        String line =
                "{\"id\":\""
                        + id
                        + "\",\"from\":\"w\",\"state\":\""
                        + response.state
                        + "\",\"result\":\"fine\"}\n";
        return RESPONSE_HEAD + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n0\r\n\r\n";
    }

    private static String find(Pattern pattern, String message) {
        Matcher matcher = pattern.matcher(message);
        return matcher.find() ? matcher.group(1) : "";
    }

    private synchronized boolean add(String key, RecordedAttempt attempt) {
        List<RecordedAttempt> ofKey = attempts.computeIfAbsent(key, k -> new ArrayList<>());
        ofKey.add(attempt);
        return ofKey.size() == 1;
    }

    /** Returns a copy of the attempts of a key, in the order of their arrival. */
    synchronized List<RecordedAttempt> attemptsOf(String key) {
        return List.copyOf(attempts.getOrDefault(key, List.of()));
    }

    /**
     * Returns a description of each attempt that broke the rule on second effects: one that went to
     * another group than an earlier one that may have run, or that came after the window, which
     * begins with the first such attempt, or beside another one although hedging is forbidden.
     *
     * @param keyPrefix the prefix of the keys for which the terms hold
     */
    synchronized List<String> violations(String keyPrefix, Terms terms) {
        List<String> violations = new ArrayList<>();
        attempts.forEach(
                (key, ofKey) -> {
                    if (key.startsWith(keyPrefix) && violates(ofKey, terms)) {
                        violations.add(key + ": " + ofKey);
                    }
                });
        return violations;
    }

    private static boolean violates(List<RecordedAttempt> ofKey, Terms terms) {
        RecordedAttempt first = null;
        for (int i = 0; i < ofKey.size(); i++) {
            RecordedAttempt attempt = ofKey.get(i);
            if (first != null && !isAllowedAfter(first, attempt, terms)) {
                return true;
            }
            if (i > 0 && !terms.mayHedge && overlaps(ofKey.get(i - 1), attempt)) {
                return true;
            }
            first = first == null && !attempt.neverRan ? attempt : first;
        }
        return false;
    }

    private static boolean isAllowedAfter(
            RecordedAttempt first, RecordedAttempt attempt, Terms terms) {
        return attempt.cell % terms.groups == first.cell % terms.groups
                && attempt.arrivedAt <= first.arrivedAt + terms.windowSeconds;
    }

    private static boolean overlaps(RecordedAttempt earlier, RecordedAttempt later) {
        return earlier.endedAt > later.arrivedAt + MAX_RECORDING_DELAY_SECONDS;
    }

    /** Returns the number of attempts that came after another one of the same key. */
    synchronized int furtherAttempts() {
        return attempts.values().stream().mapToInt(ofKey -> ofKey.size() - 1).sum();
    }
}
