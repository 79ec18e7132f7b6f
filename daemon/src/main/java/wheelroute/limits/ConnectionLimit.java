package wheelroute.limits;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Clients' connections and the places for them: who makes room when one more comes than there are
 * places. A crowd that connects and never finishes a message must not take them from those who do;
 * and of true clients some are slow to write, some only look, some keep a connection for later.
 */
public final class ConnectionLimit<C> {
    /**
     * How far a connection is. Within each, the first is the one about which nothing happened for
     * longest.
     */
    public enum Stage {
        /** Has said nothing yet: its first message may be on the way, or it is a stranger. */
        NEW,
        /** A message has begun. */
        READING,
        /** A whole message is being worked on: it keeps its place whatever comes. */
        IN_FLIGHT,
        /** Between two messages, of which none was a submission. */
        IDLE_VISITOR,
        /** Between two messages, after a submission: it is kept to be used again. */
        IDLE_CLIENT,
        /** Its last answer is out. */
        CLOSING
    }

    /**
     * A message comes at once, or goes on at once, from most; who is silent for less is not yet
     * silent.
     */
    public static final double SILENCE_TIMEOUT = 0.15;

    /**
     * Who is slow to write goes on within this; who stops in the middle for longer holds up no end.
     */
    private static final double WRITE_PAUSE_TIMEOUT = 1;

    /** Over this part of the places that has not spoken yet is a crowd of strangers. */
    private static final double CROWD_FRACTION = 0.5;

    private final Map<Stage, Map<C, Double>> stages = new EnumMap<>(Stage.class);
    private final Map<C, Stage> stageOf = new HashMap<>();
    private int limit;

    public ConnectionLimit(int limit) {
        this.limit = limit;
        for (Stage stage : Stage.values()) {
            stages.put(stage, new LinkedHashMap<>());
        }
    }

    /** From here on there are so many. */
    public void limit(int newLimit) {
        limit = newLimit;
    }

    public int limit() {
        return limit;
    }

    public int count() {
        return stageOf.size();
    }

    /** Those that are at this stage, the one that has been so for longest first. */
    public List<C> connectionsIn(Stage stage) {
        return new ArrayList<>(stages.get(stage).keySet());
    }

    /** It is there, or has come so far, or goes on saying what it has begun. */
    public void update(C connection, Stage stage, double time) {
        Stage before = stageOf.put(connection, stage);
        if (before != null) {
            stages.get(before).remove(connection);
        }
        stages.get(stage).put(connection, time);
    }

    /** Its place is free; an unknown connection has none. */
    public void remove(C connection) {
        Stage last = stageOf.remove(connection);
        if (last != null) {
            stages.get(last).remove(connection);
        }
    }

    /**
     * Whether somebody may be about to hand over a message: one has begun and went on lately, or
     * was accepted a moment ago. A process that ends now would cut it off unheard.
     */
    public boolean expectsRequest(double time) {
        return stages.get(Stage.READING).values().stream()
                        .anyMatch(since -> time - since < WRITE_PAUSE_TIMEOUT)
                || stages.get(Stage.NEW).values().stream()
                        .anyMatch(since -> time - since < SILENCE_TIMEOUT);
    }

    /** More are here than there are places, as when the places have just become fewer. */
    public boolean isOverLimit() {
        return count() > limit;
    }

    /**
     * Before one more comes: who makes room for it; nobody if there is a place, or if all that are
     * here have more of a claim than whoever comes.
     *
     * @param hasUnread whether something of it has come that is not read yet: then it is not
     *     silent, and reading it may change its stage
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
        // Those who have said nothing before those who are slow to say it: a slow one has shown
        // that it will.
        for (Stage stage : List.of(Stage.NEW, Stage.READING)) {
            for (C connection : connectionsIn(stage)) {
                // One that was read for the sake of another may have moved on meanwhile, or be
                // gone.
                double since = stages.get(stage).getOrDefault(connection, time);
                if (time - since >= SILENCE_TIMEOUT && !hasUnread.test(connection)) {
                    return Optional.of(connection);
                }
            }
        }
        // Not for a crowd: known clients keep connections to use them.
        boolean crowded =
                stages.get(Stage.NEW).size() + stages.get(Stage.READING).size()
                        > CROWD_FRACTION * limit;
        return crowded ? Optional.empty() : connectionsIn(Stage.IDLE_CLIENT).stream().findFirst();
    }
}
