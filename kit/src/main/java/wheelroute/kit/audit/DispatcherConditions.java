package wheelroute.kit.audit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import wheelroute.kit.model.EndpointRegistry;
import wheelroute.kit.model.Timeline;

/** Faults at dispatchers and their links, and what dispatchers are notified of about workers. */
final class DispatcherConditions {
    private final Timeline timeline;
    private final Set<Integer> stopped = new HashSet<>();
    private final Map<Integer, Double> pausedSince = new HashMap<>();
    private final Set<Integer> split = new HashSet<>();
    private final Set<Integer> clientsImpaired = new HashSet<>();

    /** By dispatcher and worker: since when the dispatcher is notified of draining or removal. */
    private final Map<Long, Double> drainingSince = new HashMap<>();

    /** By dispatcher and worker: how late messages may be now, or could be lately. */
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

    /** Notifications that arrived during the pause count from its end. */
    void onResumed(int dispatcher) {
        Double since = pausedSince.remove(dispatcher);
        if (since != null) {
            double now = timeline.now();
            drainingSince.replaceAll(
                    (key, time) -> key >> Integer.SIZE == dispatcher && time >= since ? now : time);
        }
    }

    /** Null for a dispatcher that is not paused. */
    Double pausedSince(int dispatcher) {
        return pausedSince.get(dispatcher);
    }

    void setSplit(int dispatcher, boolean isSplit) {
        set(split, dispatcher, isSplit);
    }

    void setClientsImpaired(int dispatcher, boolean isImpaired) {
        set(clientsImpaired, dispatcher, isImpaired);
    }

    boolean areClientsImpaired(int dispatcher) {
        return clientsImpaired.contains(dispatcher);
    }

    /** Whether requests that reach the dispatcher now may be lost without fault of its own. */
    boolean excusesRequests(int dispatcher) {
        return areClientsImpaired(dispatcher)
                || pausedSince.containsKey(dispatcher)
                || split.contains(dispatcher);
    }

    private static void set(Set<Integer> dispatchers, int dispatcher, boolean isMember) {
        if (isMember) {
            dispatchers.add(dispatcher);
        } else {
            dispatchers.remove(dispatcher);
        }
    }

    /** Messages on the link are late by at most this from now on. */
    void setLinkDelay(int dispatcher, int worker, double delay) {
        long key = linkKey(dispatcher, worker);
        maxLinkDelay = Math.max(maxLinkDelay, delay);
        double before = linkDelays.getOrDefault(key, 0.0);
        if (delay >= before) {
            linkDelays.put(key, delay);
        } else {
            // Messages under way are still late by up to the earlier delay.
            timeline.schedule(before, () -> linkDelays.replace(key, before, delay));
        }
    }

    double linkDelay(int dispatcher, int worker) {
        return linkDelays.getOrDefault(linkKey(dispatcher, worker), 0.0);
    }

    /** The maximum delay of all links so far. */
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

    /** Null for a worker that the dispatcher may believe ready. */
    Double drainingSince(int dispatcher, int worker) {
        return drainingSince.get(linkKey(dispatcher, worker));
    }

    private static long linkKey(int dispatcher, int worker) {
        return (long) dispatcher << Integer.SIZE | worker;
    }
}
