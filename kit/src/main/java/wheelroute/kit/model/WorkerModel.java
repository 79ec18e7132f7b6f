package wheelroute.kit.model;

import java.util.ArrayDeque;
import java.util.List;
import wheelroute.kit.scenario.Scenario;

/**
 * A worker, whose slots are served from one bounded queue in order of arrival. Slow start and
 * faults change its speed: an attempt runs at the ramp fraction that applied when it started, while
 * slowdowns and stalls also affect attempts that are already running.
 *
 * <p>Not thread-safe: all calls come from tasks of the run's timeline.
 */
public final class WorkerModel {
    /** The time after which an attempt fails during an error burst. */
    private static final double ERROR_DELAY_SECONDS = 0.002;

    /** The time after which a worker restarts that crashed because of overload in slow start. */
    private static final double COLLAPSE_RESTART_SECONDS = 3;

    /** Opens and closes the ports of workers; a closed port refuses connections. */
    public interface PortListener {
        /** Called when the worker begins to listen on its port. */
        void onOpened(WorkerModel worker);

        /** Called when the port closes: open connections break and new ones are refused. */
        void onClosed(WorkerModel worker);
    }

    public final int number;
    public final String name;
    public final Scenario.WorkerGroup group;
    private final Timeline timeline;
    private final Scenario.PlatformProperties terms;
    private final SeededRandom random;
    private final EndpointRegistry registry;
    private final WorkerEventListener listener;
    private final WorkerFaults faults = new WorkerFaults();
    private final WorkerResponses responses;
    private final SlowStartModel slowStart;
    private final RunningAttempts running;
    private final ArrayDeque<WorkerAttempt> queue = new ArrayDeque<>();
    private PortListener portListener;
    private double memoryInUse;
    private boolean up = true;

    /** Incremented when the process starts or ends, so that its earlier timers have no effect. */
    private int incarnation;

    WorkerModel(int number, String name, Scenario.WorkerGroup group, ModelContext context) {
        this.number = number;
        this.name = name;
        this.group = group;
        timeline = context.timeline();
        terms = context.terms();
        random = context.random();
        registry = context.registry();
        listener = context.listener();
        responses = new WorkerResponses(this, faults, listener);
        slowStart = new SlowStartModel(group);
        running =
                new RunningAttempts(this, context, faults, slowStart, responses, this::onCompleted);
    }

    /** Sets the listener that is called when the worker's port opens or closes; null for none. */
    public void portListener(PortListener newListener) {
        portListener = newListener;
    }

    /** Returns whether the worker's process runs; connections are refused otherwise. */
    public boolean isUp() {
        return up;
    }

    /** Queues, starts, fails or rejects an attempt whose last byte has arrived. */
    public void accept(WorkerAttempt attempt) {
        listener.onArrived(attempt, this);
        if (faults.isPartitioned()) {
            responses.markInterrupted(attempt);
        } else if (slowStart.collapsesUnder(attempt.workSeconds, timeline.now())) {
            collapse(attempt);
        } else if (isDrawnToFail(attempt)) {
            runInThisProcess(
                    ERROR_DELAY_SECONDS,
                    () -> {
                        if (!attempt.ended) {
                            end(attempt, AttemptEnding.FAILED);
                        }
                    });
        } else if (isFull(attempt)) {
            end(attempt, AttemptEnding.REJECTED);
        } else {
            memoryInUse += attempt.memory;
            queue.addLast(attempt);
            startQueued();
        }
    }

    private void collapse(WorkerAttempt attempt) {
        listener.onCollapsed(this);
        end(attempt, AttemptEnding.CONNECTION_LOST);
        crash();
        runInThisProcess(COLLAPSE_RESTART_SECONDS, this::start);
    }

    private boolean isDrawnToFail(WorkerAttempt attempt) {
        double fraction = faults.failureFraction();
        return fraction > 0
                && random.uniform(SeededRandom.Purpose.FAILURE, attempt.requestId, number)
                        < fraction;
    }

    private boolean isFull(WorkerAttempt attempt) {
        return (queue.size() >= group.queueCapacity() && !canStartAtOnce(attempt))
                || memoryInUse + attempt.memory > group.memoryCapacity();
    }

    private boolean canStartAtOnce(WorkerAttempt attempt) {
        return queue.isEmpty() && running.hasSlotsFor(attempt);
    }

    /**
     * Handles the close of an attempt's connection by the dispatcher: a queued attempt is dropped,
     * a running one continues without a connection.
     */
    public void cancel(WorkerAttempt attempt) {
        attempt.cancelled = true;
        if (!attempt.ended && queue.remove(attempt)) {
            memoryInUse -= attempt.memory;
            attempt.ended = true;
            startQueued();
        }
    }

    /** Runs a task after a delay, unless the process has ended or restarted in the meantime. */
    private void runInThisProcess(double delaySeconds, Runnable task) {
        int scheduledIn = incarnation;
        timeline.schedule(
                delaySeconds,
                () -> {
                    if (scheduledIn == incarnation) {
                        task.run();
                    }
                });
    }

    private void startQueued() {
        while (!queue.isEmpty() && !faults.isStalled()) {
            if (!running.hasSlotsFor(queue.peekFirst())) {
                return;
            }
            running.start(queue.pollFirst());
        }
    }

    private void onCompleted(WorkerAttempt attempt) {
        memoryInUse -= attempt.memory;
        end(attempt, AttemptEnding.SUCCEEDED);
        startQueued();
    }

    private void end(WorkerAttempt attempt, AttemptEnding ending) {
        attempt.ended = true;
        boolean isDelivered = ending == AttemptEnding.CONNECTION_LOST || !faults.areResponsesLost();
        listener.onEnded(attempt, this, ending, isDelivered && !attempt.cancelled);
        double freeSlots = running.reportedFreeSlots();
        responses.deliver(attempt, () -> attempt.reply.onEnded(ending, freeSlots));
    }

    void changeFailureFraction(double change) {
        faults.changeFailureFraction(change);
    }

    void setStalled(boolean begins) {
        running.changePace(() -> faults.setStalled(begins));
        startQueued();
    }

    void changeSpeed(double factor) {
        running.changePace(() -> faults.multiplySpeed(factor));
        startQueued();
    }

    void changeReportDelay(double changeSeconds) {
        faults.changeReportDelay(changeSeconds);
    }

    void setUnresponsive(boolean begins) {
        faults.setUnresponsive(begins);
        resetInterruptedIfReachable();
    }

    void setPartitioned(boolean begins) {
        faults.setPartitioned(begins);
        resetInterruptedIfReachable();
    }

    private void resetInterruptedIfReachable() {
        if (!faults.areResponsesLost()) {
            responses.resetInterrupted();
        }
    }

    /**
     * Drains the worker: updates its state in the endpoint list to draining, and ends the process
     * when it has no attempts, but not before the list's lag and the drain grace are over, so that
     * every dispatcher has had time to be notified.
     */
    void drain() {
        registry.update(this, EndpointRegistry.State.DRAINING, slowStart.startedAt());
        runInThisProcess(
                terms.endpointListLagSeconds() + terms.drainGraceSeconds(), this::endWhenIdle);
    }

    private void endWhenIdle() {
        if (running.count() == 0 && queue.isEmpty()) {
            crash();
        } else {
            runInThisProcess(EndpointRegistry.POLL_INTERVAL_SECONDS, this::endWhenIdle);
        }
    }

    /** Ends the process at once; the connections of all its attempts are lost. */
    void crash() {
        incarnation++;
        up = false;
        registry.update(this, EndpointRegistry.State.REMOVED, slowStart.startedAt());
        List<WorkerAttempt> lost = running.removeAll();
        lost.addAll(queue);
        queue.clear();
        memoryInUse = 0;
        slowStart.onProcessEnded();
        if (portListener != null) {
            portListener.onClosed(this);
        }
        lost.forEach(attempt -> end(attempt, AttemptEnding.CONNECTION_LOST));
        responses.resetInterrupted();
    }

    /** Starts a new process, which begins with slow start; a running process crashes first. */
    void start() {
        if (up) {
            crash();
        }
        incarnation++;
        up = true;
        slowStart.onProcessStarted(timeline.now());
        if (portListener != null) {
            portListener.onOpened(this);
        }
        registry.update(this, EndpointRegistry.State.READY, slowStart.startedAt());
    }

    /** Returns the fraction of its full capacity that the worker has at this time. */
    public double rampFraction(double at) {
        return slowStart.rampFraction(at);
    }

    /** Returns the number of attempts that occupy slots, without queued ones. */
    public int runningCount() {
        return running.count();
    }

    /** Returns the number of attempts that wait for free slots. */
    public int queuedCount() {
        return queue.size();
    }

    /** Returns the fraction of attempts that fail immediately because of error bursts. */
    public double failureFraction() {
        return faults.failureFraction();
    }

    /**
     * Returns when an attempt that arrives now is expected to complete; infinity if the active
     * faults or a full queue prevent it.
     */
    public double expectedCompletionAt(double workSeconds) {
        double now = timeline.now();
        double pace = running.pace() * rampFraction(now);
        if (!up
                || faults.areResponsesLost()
                || !(pace > 0)
                || queue.size() >= group.queueCapacity()) {
            return Double.POSITIVE_INFINITY;
        }
        double workAhead = 0;
        for (WorkerAttempt attempt : queue) {
            workAhead += attempt.workSeconds;
        }
        for (WorkerAttempt attempt : running.attempts()) {
            workAhead += running.remainingSeconds(attempt);
        }
        boolean hasFreeSlot = running.hasFreeSlot() && queue.isEmpty();
        double waitSeconds = hasFreeSlot ? 0 : workAhead / group.slots();
        return now + (waitSeconds + workSeconds) / pace;
    }
}
