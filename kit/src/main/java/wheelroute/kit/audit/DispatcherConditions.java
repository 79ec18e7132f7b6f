package wheelroute.kit.audit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.Timeline;

/** The active faults at dispatchers and their links, and the worker states known to dispatchers. */
final class DispatcherConditions {
    private final Timeline timeline;
    private final Set<Integer> stopped = new HashSet<>();
    private final Map<Integer, Double> pausedSince = new HashMap<>();
    private final Set<Integer> disruptedHandovers = new HashSet<>();
    private final Set<Integer> clientsImpaired = new HashSet<>();

    /** When a dispatcher was notified that a worker is draining or removed, by {@link #linkKey}. */
    private final Map<Long, Double> drainingSince = new HashMap<>();

    /** The maximum delay of messages that may be under way on a link, by {@link #linkKey}. */
    private final Map<Long, Double> linkDelays = new HashMap<>();

    private double maxLinkDelay;

    DispatcherConditions(Timeline timeline) {
        this.timeline = timeline;
    }

    void onStarted(int dispatcher) {
        stopped.remove(dispatcher);
    }

    void onStopped(int dispatcher) {
        stopped.add(dispatcher);
        pausedSince.remove(dispatcher);
        drainingSince.keySet().removeIf(key -> key >> Integer.SIZE == dispatcher);
    }

    boolean isStopped(int dispatcher) {
        return stopped.contains(dispatcher);
    }

    void onPaused(int dispatcher) {
        pausedSince.put(dispatcher, timeline.now());
    }

    /** Ends a pause; the drain grace of workers whose notification arrived during it begins now. */
    void onResumed(int dispatcher) {
        Double since = pausedSince.remove(dispatcher);
        if (since != null) {
            double now = timeline.now();
            drainingSince.replaceAll(
                    (key, time) -> key >> Integer.SIZE == dispatcher && time >= since ? now : time);
        }
    }

    /** Returns when the dispatcher was paused; null if it is not paused. */
    Double pausedSince(int dispatcher) {
        return pausedSince.get(dispatcher);
    }

    void setHandoverDisrupted(int dispatcher, boolean isDisrupted) {
        set(disruptedHandovers, dispatcher, isDisrupted);
    }

    void setClientsImpaired(int dispatcher, boolean isImpaired) {
        set(clientsImpaired, dispatcher, isImpaired);
    }

    boolean areClientsImpaired(int dispatcher) {
        return clientsImpaired.contains(dispatcher);
    }

    /**
     * Returns whether faults may prevent a dispatcher from responding to requests sent to it now.
     */
    boolean excusesRequests(int dispatcher) {
        return areClientsImpaired(dispatcher)
                || pausedSince.containsKey(dispatcher)
                || disruptedHandovers.contains(dispatcher);
    }

    private static void set(Set<Integer> dispatchers, int dispatcher, boolean isMember) {
        if (isMember) {
            dispatchers.add(dispatcher);
        } else {
            dispatchers.remove(dispatcher);
        }
    }

    /** Sets the maximum delay of messages on a link from now on. */
    void setLinkDelay(int dispatcher, int worker, double delay) {
        long key = linkKey(dispatcher, worker);
        maxLinkDelay = Math.max(maxLinkDelay, delay);
        double before = linkDelays.getOrDefault(key, 0.0);
        if (delay >= before) {
            linkDelays.put(key, delay);
        } else {
            // Messages that are under way may still arrive with the earlier delay.
            timeline.schedule(before, () -> linkDelays.replace(key, before, delay));
        }
    }

    double linkDelay(int dispatcher, int worker) {
        return linkDelays.getOrDefault(linkKey(dispatcher, worker), 0.0);
    }

    /** Returns the maximum delay of any link since the start of the run. */
    double maxLinkDelay() {
        return maxLinkDelay;
    }

    void onNotified(int dispatcher, int worker, EndpointRegistry.State state) {
        long key = linkKey(dispatcher, worker);
        if (state == EndpointRegistry.State.READY) {
            drainingSince.remove(key);
        } else {
            drainingSince.putIfAbsent(key, timeline.now());
        }
    }

    /**
     * Returns when the dispatcher was notified that a worker is draining or removed; null if it was
     * not, has stopped since, or was later notified that the worker is ready.
     */
    Double drainingSince(int dispatcher, int worker) {
        return drainingSince.get(linkKey(dispatcher, worker));
    }

    private static long linkKey(int dispatcher, int worker) {
        return (long) dispatcher << Integer.SIZE | worker;
    }
}
