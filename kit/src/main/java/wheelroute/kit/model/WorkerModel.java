package wheelroute.kit.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wheelroute.kit.scenario.Scenario;

/**
 * One worker: slots served from one queue in order, at a speed that faults and warmth change. A job
 * runs at the warmth of its start; slow-downs and stalls change the pace of what runs already.
 */
public final class WorkerModel {
    /** An error comes at once: so long after the attempt. */
    private static final double ERROR_DELAY = 0.002;

    /** A worker that fell over is back after so long. */
    private static final double COLLAPSE_DURATION = 3;

    /** Who opens and closes its door; a closed one refuses connections. */
    public interface PortListener {
        /** The worker listens on its port from now on. */
        void onOpened(WorkerModel worker);

        /** The worker's port is closed: connections to it are refused or break. */
        void closed(WorkerModel worker);
    }

    public final int number;
    public final String name;
    public final Scenario.WorkerGroup group;
    private final Timeline timeline;
    private final Scenario.PlatformTerms terms;
    private final SeededRandom random;
    private final EndpointRegistry registry;
    private final EventListener listener;
    private final ArrayDeque<WorkerAttempt> waiting = new ArrayDeque<>();
    private final List<WorkerAttempt> running = new ArrayList<>();

    /** Those who were not told something: broken off when the worker can speak again. */
    private final List<WorkerAttempt> unnotified = new ArrayList<>();

    private final ArrayDeque<double[]> coldArrivals = new ArrayDeque<>();
    private final ArrayDeque<double[]> freeSlotHistory = new ArrayDeque<>();
    private PortListener portListener;
    private int slotsInUse;
    private double memoryInUse;
    private boolean up = true;
    private double startedAt = Double.NaN;
    private double slowdown = 1;
    private int stalls;
    private int silences;
    private int cuts;
    private double failing;
    private double reportDelay;
    private int incarnation;

    WorkerModel(
            int number,
            String name,
            Scenario.WorkerGroup group,
            Timeline timeline,
            Scenario.PlatformTerms terms,
            SeededRandom random,
            EndpointRegistry registry,
            EventListener listener) {
        this.number = number;
        this.name = name;
        this.group = group;
        this.timeline = timeline;
        this.terms = terms;
        this.random = random;
        this.registry = registry;
        this.listener = listener;
    }

    /** Sets who hears that the worker's port opens and closes. */
    public void portListener(PortListener newDoor) {
        portListener = newDoor;
    }

    // ---- what dispatchers do to it

    /** False while its process is down: connections are refused. */
    public boolean isUp() {
        return up;
    }

    /** An attempt's last byte has come. */
    public void accept(WorkerAttempt attempt) {
        listener.onArrived(attempt, this);
        if (cuts > 0) {
            attempt.notificationLost = true;
            unnotified.add(attempt);
            return;
        }
        if (wouldCollapse(attempt.work)) {
            listener.onCollapsed(this);
            end(attempt, AttemptEnding.CONNECTION_LOST);
            crash();
            int life = incarnation;
            timeline.schedule(
                    COLLAPSE_DURATION,
                    () -> {
                        if (life == incarnation) {
                            start();
                        }
                    });
            return;
        }
        if (failing > 0
                && random.uniform(SeededRandom.Purpose.FAILURE, attempt.requestId, number)
                        < failing) {
            int life = incarnation;
            timeline.schedule(
                    ERROR_DELAY,
                    () -> {
                        if (life == incarnation && !attempt.ended) {
                            end(attempt, AttemptEnding.FAILED);
                        }
                    });
            return;
        }
        if ((waiting.size() >= group.queue() && !canStart(attempt))
                || memoryInUse + attempt.memory > group.memory()) {
            end(attempt, AttemptEnding.REJECTED);
            return;
        }
        memoryInUse += attempt.memory;
        waiting.addLast(attempt);
        startNext();
    }

    /**
     * Its connection was closed by the other side: what waits is forgotten, what runs goes on
     * unheard.
     */
    public void cancel(WorkerAttempt attempt) {
        attempt.cancelled = true;
        if (!attempt.ended && waiting.remove(attempt)) {
            memoryInUse -= attempt.memory;
            attempt.ended = true;
            startNext();
        }
    }

    // ---- its work

    private boolean canStart(WorkerAttempt attempt) {
        return waiting.isEmpty()
                && slotsInUse + Math.min(attempt.slots, group.slots()) <= group.slots();
    }

    private void startNext() {
        while (!waiting.isEmpty() && stalls == 0) {
            WorkerAttempt next = waiting.peekFirst();
            int need = Math.min(next.slots, group.slots());
            if (slotsInUse + need > group.slots()) {
                return;
            }
            waiting.pollFirst();
            slotsInUse += need;
            recordFreeSlots();
            running.add(next);
            next.startedAt = timeline.now();
            next.progressedAt = next.startedAt;
            // The warmth of the start counts for the whole job, as if it were more work.
            next.remaining = next.work / warmth(next.startedAt);
            listener.onStarted(next, this);
            if (terms.reportsStart()) {
                deliver(next, next.reply::onStarted);
            }
            plan(next);
            if (terms.progressIntervalSeconds() > 0) {
                progress(next, next.remaining);
            }
        }
    }

    private double pace() {
        return stalls > 0 ? 0 : group.speed() * slowdown;
    }

    private void plan(WorkerAttempt attempt) {
        double pace = pace();
        int plan = ++attempt.planVersion;
        if (pace > 0) {
            timeline.schedule(
                    attempt.remaining / pace,
                    () -> {
                        if (plan == attempt.planVersion && !attempt.ended) {
                            finish(attempt);
                        }
                    });
        }
    }

    private void finish(WorkerAttempt attempt) {
        running.remove(attempt);
        slotsInUse -= Math.min(attempt.slots, group.slots());
        memoryInUse -= attempt.memory;
        recordFreeSlots();
        end(attempt, AttemptEnding.SUCCEEDED);
        startNext();
    }

    private void progress(WorkerAttempt attempt, double whole) {
        timeline.schedule(
                terms.progressIntervalSeconds(),
                () -> {
                    if (!attempt.ended && !attempt.cancelled) {
                        double left =
                                Math.max(
                                        0,
                                        attempt.remaining
                                                - (timeline.now() - attempt.progressedAt) * pace());
                        deliver(attempt, () -> attempt.reply.onProgress(1 - left / whole));
                        progress(attempt, whole);
                    }
                });
    }

    /** What runs goes on at the new pace. */
    private void updatePace(Runnable change) {
        double before = pace();
        change.run();
        double now = timeline.now();
        for (WorkerAttempt attempt : running) {
            attempt.remaining =
                    Math.max(0, attempt.remaining - (now - attempt.progressedAt) * before);
            attempt.progressedAt = now;
            plan(attempt);
        }
        startNext();
    }

    private void end(WorkerAttempt attempt, AttemptEnding ending) {
        attempt.ended = true;
        boolean heard = ending == AttemptEnding.CONNECTION_LOST || (silences == 0 && cuts == 0);
        listener.onEnded(attempt, this, ending, heard && !attempt.cancelled);
        double free = reportedFree();
        deliver(attempt, () -> attempt.reply.onEnded(ending, free));
    }

    private void deliver(WorkerAttempt attempt, Runnable word) {
        if (attempt.cancelled) {
            return;
        }
        if (silences > 0 || cuts > 0) {
            if (!attempt.notificationLost) {
                attempt.notificationLost = true;
                unnotified.add(attempt);
            }
            return;
        }
        if (!attempt.notificationLost) {
            word.run();
        }
    }

    /** Connections on which something went unsaid are of no more use to anyone. */
    private void dropUnnotified() {
        List<WorkerAttempt> broken = new ArrayList<>(unnotified);
        unnotified.clear();
        for (WorkerAttempt attempt : broken) {
            if (!attempt.cancelled) {
                // Whatever becomes of the job, its connection ends here.
                attempt.cancelled = true;
                listener.onEnded(attempt, this, AttemptEnding.CONNECTION_LOST, true);
                attempt.reply.onEnded(AttemptEnding.CONNECTION_LOST, Double.NaN);
            }
        }
    }

    // ---- warmth

    /** The part of its capacity it has, from coldShare at its start to 1. */
    public double warmth(double at) {
        double age = at - startedAt;
        if (!(age < group.slowStartDurationSeconds())) {
            return 1;
        }
        return group.slowStartShare()
                + (1 - group.slowStartShare())
                        * Math.max(0, age)
                        / group.slowStartDurationSeconds();
    }

    private boolean wouldCollapse(double work) {
        double now = timeline.now();
        double from = now - group.overloadWindowSeconds();
        double warm = warmth(from);
        if (warm >= 1) {
            return false;
        }
        coldArrivals.addLast(new double[] {now, work});
        while (coldArrivals.peekFirst()[0] <= from) {
            coldArrivals.pollFirst();
        }
        double sum = coldArrivals.stream().mapToDouble(entry -> entry[1]).sum();
        double most =
                group.overloadMultiple()
                        * warm
                        * group.speed()
                        * group.slots()
                        * group.overloadWindowSeconds();
        if (group.overloadMeanWork() > 0) {
            most += (2 * Math.sqrt(most / group.overloadMeanWork()) + 2) * group.overloadMeanWork();
        }
        return sum > most;
    }

    // ---- reports

    private void recordFreeSlots() {
        if (terms.reportLag() >= 0) {
            freeSlotHistory.addLast(new double[] {timeline.now(), group.slots() - slotsInUse});
        }
    }

    /** Free slots as they were some time ago. */
    private double reportedFree() {
        if (terms.reportLag() < 0) {
            return Double.NaN;
        }
        double as = timeline.now() - terms.reportLag() - reportDelay;
        double free = group.slots();
        while (freeSlotHistory.size() > 1 && freeSlotHistory.peekFirst()[0] <= as) {
            free = freeSlotHistory.pollFirst()[1];
        }
        if (!freeSlotHistory.isEmpty() && freeSlotHistory.peekFirst()[0] <= as) {
            free = freeSlotHistory.peekFirst()[1];
        }
        return free;
    }

    // ---- faults

    void changeFailureRate(double part) {
        failing = Math.max(0, Math.min(1, failing + part));
    }

    void setStalled(boolean begins) {
        updatePace(() -> stalls += begins ? 1 : -1);
    }

    void changeSpeed(double factor) {
        updatePace(() -> slowdown *= factor);
    }

    void delayReports(double by) {
        reportDelay += by;
    }

    void setSilent(boolean begins) {
        silences += begins ? 1 : -1;
        if (silences == 0 && cuts == 0) {
            dropUnnotified();
        }
    }

    void setPartitioned(boolean begins) {
        cuts += begins ? 1 : -1;
        if (cuts == 0 && silences == 0) {
            dropUnnotified();
        }
    }

    /** Told draining now; it ends when it is empty, but not before all have had time to hear it. */
    void drain() {
        registry.update(this, EndpointRegistry.State.DRAINING, startedAt);
        int life = incarnation;
        timeline.schedule(terms.listLag() + terms.grace(), () -> endIfEmpty(life));
    }

    private void endIfEmpty(int life) {
        if (life != incarnation) {
            return;
        }
        if (running.isEmpty() && waiting.isEmpty()) {
            crash();
        } else {
            timeline.schedule(EndpointRegistry.POLL_INTERVAL, () -> endIfEmpty(life));
        }
    }

    /** The process ends with all it holds. */
    void crash() {
        incarnation++;
        up = false;
        registry.update(this, EndpointRegistry.State.GONE, startedAt);
        List<WorkerAttempt> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        slotsInUse = 0;
        memoryInUse = 0;
        coldArrivals.clear();
        if (portListener != null) {
            portListener.closed(this);
        }
        lost.forEach(attempt -> end(attempt, AttemptEnding.CONNECTION_LOST));
        dropUnnotified();
    }

    /** A new process, cold. */
    void start() {
        if (up) {
            crash();
        }
        incarnation++;
        up = true;
        startedAt = timeline.now();
        if (portListener != null) {
            portListener.onOpened(this);
        }
        registry.update(this, EndpointRegistry.State.READY, startedAt);
    }

    // ---- what those see who see all

    /** Jobs that run now. */
    public int running() {
        return running.size();
    }

    /** Jobs that wait for a slot now. */
    public int waiting() {
        return waiting.size();
    }

    /** The part of attempts that end in an error now. */
    public double failureRate() {
        return failing;
    }

    /** When a job that came now would be done; infinite where it would not be. */
    public double workDoneBy(double work) {
        double now = timeline.now();
        double pace = pace() * warmth(now);
        if (!up || cuts > 0 || silences > 0 || !(pace > 0) || waiting.size() >= group.queue()) {
            return Double.POSITIVE_INFINITY;
        }
        double ahead = 0;
        for (WorkerAttempt attempt : waiting) {
            ahead += attempt.work;
        }
        for (WorkerAttempt attempt : running) {
            ahead += Math.max(0, attempt.remaining - (now - attempt.progressedAt) * pace());
        }
        double wait = slotsInUse < group.slots() && waiting.isEmpty() ? 0 : ahead / group.slots();
        return now + (wait + work) / pace;
    }
}
