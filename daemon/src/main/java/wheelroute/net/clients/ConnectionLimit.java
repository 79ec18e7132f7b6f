package wheelroute.net.clients;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Limits client connections, and chooses which one to evict for a new one when the limit is
 * reached.
 *
 * <p>A flood of connections that never complete a message must not displace clients that do. Some
 * legitimate clients write slowly, some only query status, and some keep a connection for reuse, so
 * the eviction order follows the {@link Stage} of each connection.
 *
 * <p>Times are in seconds on the caller's clock. Not thread-safe.
 *
 * @param <C> identifies a connection; needs equals and hashCode
 */
public final class ConnectionLimit<C> {
    /** Progress of a connection. Within a stage, connections are ordered by their last update. */
    public enum Stage {
        /** Accepted, without any bytes of a first message yet. */
        NEW,
        /** Part of a message has arrived. */
        READING,
        /** A complete message is being processed; never evicted. */
        IN_FLIGHT,
        /** Between two messages, none of which was a request for work. */
        IDLE_VISITOR,
        /** Between two messages, after a request for work: kept open for reuse. */
        IDLE_CLIENT,
        /** The last response has been sent. */
        CLOSING
    }

    /** A connection without a complete message is stalled after this time without progress. */
    private static final double STALL_TIMEOUT_SECONDS = 0.15;

    /** Longest pause of a slow writer. A longer one does not delay the shutdown. */
    private static final double WRITE_PAUSE_TIMEOUT_SECONDS = 1;

    /** Fraction of the limit above which connections without a complete message are a flood. */
    private static final double FLOOD_FRACTION = 0.5;

    private final Map<Stage, Map<C, Double>> lastUpdates = new EnumMap<>(Stage.class);
    private final Map<C, Stage> stages = new HashMap<>();
    private int limit;

    /**
     * Creates a limit without any connections.
     *
     * @param limit the maximum number of connections
     */
    public ConnectionLimit(int limit) {
        this.limit = limit;
        for (Stage stage : Stage.values()) {
            lastUpdates.put(stage, new LinkedHashMap<>());
        }
    }

    /** Changes the maximum number of connections; {@link #isOverLimit} may hold afterwards. */
    public void limit(int newLimit) {
        limit = newLimit;
    }

    /** Returns the maximum number of connections. */
    public int limit() {
        return limit;
    }

    /** Returns the number of open connections. */
    public int count() {
        return stages.size();
    }

    /** Returns a copy of the connections at this stage, the least recently updated first. */
    public List<C> connectionsIn(Stage stage) {
        return new ArrayList<>(lastUpdates.get(stage).keySet());
    }

    /** Records that a connection was opened, reached this stage, or made progress within it. */
    public void update(C connection, Stage stage, double time) {
        Stage previous = stages.put(connection, stage);
        if (previous != null) {
            lastUpdates.get(previous).remove(connection);
        }
        lastUpdates.get(stage).put(connection, time);
    }

    /** Records that a connection was closed. Ignores an unknown one. */
    public void remove(C connection) {
        Stage previous = stages.remove(connection);
        if (previous != null) {
            lastUpdates.get(previous).remove(connection);
        }
    }

    /**
     * Whether a request may be about to arrive, and would be lost if the process ended now: one is
     * partly read and made progress recently, or a connection was accepted very recently.
     */
    public boolean expectsRequest(double time) {
        return hasUpdateWithin(WRITE_PAUSE_TIMEOUT_SECONDS, Stage.READING, time)
                || hasUpdateWithin(STALL_TIMEOUT_SECONDS, Stage.NEW, time);
    }

    private boolean hasUpdateWithin(double timeoutSeconds, Stage stage, double time) {
        return lastUpdates.get(stage).values().stream()
                .anyMatch(lastUpdate -> time - lastUpdate < timeoutSeconds);
    }

    /** Whether more connections are open than allowed, as after the limit was lowered. */
    public boolean isOverLimit() {
        return count() > limit;
    }

    /**
     * Chooses the connection to evict before one more is accepted.
     *
     * @param hasUnread whether received bytes of a connection are still unread, so that it is not
     *     stalled; the call may read them, and so change or remove the connection
     * @return empty if the limit is not reached, or if every connection takes precedence over a new
     *     one
     */
    public Optional<C> connectionToEvict(double time, Predicate<C> hasUnread) {
        if (count() < limit) {
            return Optional.empty();
        }
        for (Stage stage : List.of(Stage.CLOSING, Stage.IDLE_VISITOR)) {
            Optional<C> first = connectionsIn(stage).stream().findFirst();
            if (first.isPresent()) {
                return first;
            }
        }
        // NEW before READING: a slow writer has shown that it intends to send a request.
        for (Stage stage : List.of(Stage.NEW, Stage.READING)) {
            Optional<C> stalled = firstStalled(stage, time, hasUnread);
            if (stalled.isPresent()) {
                return stalled;
            }
        }
        // A flood must not displace known clients, which keep their connections for reuse.
        return isFlooded()
                ? Optional.empty()
                : connectionsIn(Stage.IDLE_CLIENT).stream().findFirst();
    }

    private Optional<C> firstStalled(Stage stage, double time, Predicate<C> hasUnread) {
        for (C connection : connectionsIn(stage)) {
            // An earlier call of hasUnread may have moved this one to another stage or removed it.
            double lastUpdate = lastUpdates.get(stage).getOrDefault(connection, time);
            if (time - lastUpdate >= STALL_TIMEOUT_SECONDS && !hasUnread.test(connection)) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private boolean isFlooded() {
        int incomplete = lastUpdates.get(Stage.NEW).size() + lastUpdates.get(Stage.READING).size();
        return incomplete > FLOOD_FRACTION * limit;
    }
}
