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
 * Limits the number of client connections. When the limit is reached, chooses the connection that
 * is evicted in favour of a new one.
 *
 * <p>A flood of connections that never complete a message must not displace clients that complete
 * theirs. Since some legitimate clients write slowly, some only query status, and some keep a
 * connection for reuse, the eviction order depends on the {@link Stage} of each connection.
 *
 * <p>Times are in seconds on the caller's clock. Not thread-safe.
 *
 * @param <C> the type that identifies a connection, which must implement equals and hashCode
 */
public final class ConnectionLimit<C> {
    /** The progress of a connection. Each stage orders its connections by their last update. */
    public enum Stage {
        /** The connection is accepted, and no byte of its first message has arrived. */
        NEW,
        /** Only a part of a message has arrived. */
        READING,
        /** A complete message is being processed. The connection is never evicted. */
        IN_FLIGHT,
        /**
         * The connection is between two messages, and none of its requests for work was accepted.
         * The client may only be querying status.
         */
        IDLE_NO_REQUEST,
        /**
         * The connection is between two messages, and a request for work was accepted before. The
         * client keeps the connection open for reuse.
         */
        IDLE_CLIENT,
        /** The last response has been sent. */
        CLOSING
    }

    /** Time without progress after which a connection without a complete message is stalled. */
    private static final double STALL_TIMEOUT_SECONDS = 0.15;

    /** The longest pause of a slow writer for which the shutdown waits. */
    private static final double WRITE_PAUSE_TIMEOUT_SECONDS = 1;

    /** Fraction of the limit above which connections without a complete message are a flood. */
    private static final double FLOOD_FRACTION = 0.5;

    private final Map<Stage, Map<C, Double>> lastUpdates = new EnumMap<>(Stage.class);
    private final Map<C, Stage> stages = new HashMap<>();
    private int limit;

    /**
     * Creates an instance without any connections.
     *
     * @param limit the maximum number of connections
     */
    public ConnectionLimit(int limit) {
        this.limit = limit;
        for (Stage stage : Stage.values()) {
            lastUpdates.put(stage, new LinkedHashMap<>());
        }
    }

    /** Changes the maximum number of connections, which the open ones may then exceed. */
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

    /** Returns a copy of the connections in a stage, the least recently updated one first. */
    public List<C> connectionsIn(Stage stage) {
        return new ArrayList<>(lastUpdates.get(stage).keySet());
    }

    /** Records that a connection was opened, reached a stage, or made progress within it. */
    public void update(C connection, Stage stage, double time) {
        Stage previous = stages.put(connection, stage);
        if (previous != null) {
            lastUpdates.get(previous).remove(connection);
        }
        lastUpdates.get(stage).put(connection, time);
    }

    /** Records that a connection was closed. Does nothing if the connection is unknown. */
    public void remove(C connection) {
        Stage previous = stages.remove(connection);
        if (previous != null) {
            lastUpdates.get(previous).remove(connection);
        }
    }

    /**
     * Whether a request may be about to arrive, which would be lost if the process ended now. This
     * is so if a message is partly read and made progress recently, or if a connection was accepted
     * very recently.
     */
    public boolean expectsRequest(double time) {
        return hasUpdateWithin(WRITE_PAUSE_TIMEOUT_SECONDS, Stage.READING, time)
                || hasUpdateWithin(STALL_TIMEOUT_SECONDS, Stage.NEW, time);
    }

    private boolean hasUpdateWithin(double timeoutSeconds, Stage stage, double time) {
        return lastUpdates.get(stage).values().stream()
                .anyMatch(lastUpdate -> time - lastUpdate < timeoutSeconds);
    }

    /** Whether more connections are open than allowed, for example after the limit was lowered. */
    public boolean isOverLimit() {
        return count() > limit;
    }

    /**
     * Chooses the connection to evict before one more is accepted.
     *
     * @param hasUnreadBytes whether a connection has received bytes that were not read yet, so that
     *     it is not stalled; the call may read the bytes, and thereby update or remove connections
     * @return the connection to evict; empty if the limit is not reached, or if every connection
     *     takes precedence over a new one
     */
    public Optional<C> connectionToEvict(double time, Predicate<C> hasUnreadBytes) {
        if (count() < limit) {
            return Optional.empty();
        }
        for (Stage stage : List.of(Stage.CLOSING, Stage.IDLE_NO_REQUEST)) {
            Optional<C> first = connectionsIn(stage).stream().findFirst();
            if (first.isPresent()) {
                return first;
            }
        }
        // NEW precedes READING, because a slow writer has shown that it intends to send a request.
        for (Stage stage : List.of(Stage.NEW, Stage.READING)) {
            Optional<C> stalled = firstStalled(stage, time, hasUnreadBytes);
            if (stalled.isPresent()) {
                return stalled;
            }
        }
        // A flood must not displace known clients, which keep their connections for reuse.
        return isFlooded()
                ? Optional.empty()
                : connectionsIn(Stage.IDLE_CLIENT).stream().findFirst();
    }

    private Optional<C> firstStalled(Stage stage, double time, Predicate<C> hasUnreadBytes) {
        for (C connection : connectionsIn(stage)) {
            // An earlier call of hasUnreadBytes may have removed or updated this connection.
            double lastUpdate = lastUpdates.get(stage).getOrDefault(connection, time);
            if (time - lastUpdate >= STALL_TIMEOUT_SECONDS && !hasUnreadBytes.test(connection)) {
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
