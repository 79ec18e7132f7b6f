package wheelroute.kit.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wheelroute.kit.scenario.Scenario;

/**
 * A worker: slots served from one bounded queue in order of arrival, at a speed that slow start and
 * faults change. An attempt runs at the ramp fraction of its start; slowdowns and stalls also
 * affect attempts that are running already.
 *
 * <p>Not thread-safe: all calls come from tasks of the run's timeline.
 */
public final class WorkerModel {
    private static final double ERROR_DELAY_SECONDS = 0.002;
    private static final double COLLAPSE_RESTART_SECONDS = 3;

    /** Opens and closes the worker's port; a closed port refuses connections. */
    public interface PortListener {
        /** The worker listens on its port from now on. */
        void onOpened(WorkerModel worker);

        /** The worker's port is closed: its connections break and new ones are refused. */
        void onClosed(WorkerModel worker);
    }

    public final int number;
    public final String name;
    public final Scenario.WorkerGroup group;
    private final Timeline timeline;
    private final Scenario.PlatformTerms terms;
    private final SeededRandom random;
    private final EndpointRegistry registry;
    private final EventListener listener;
    private final WorkerFaults faults = new WorkerFaults();
    private final WorkerResponses responses;
    private final SlowStartModel slowStart;
    private final LoadReportHistory loadReports;
    private final ArrayDeque<WorkerAttempt> queue = new ArrayDeque<>();
    private final List<WorkerAttempt> running = new ArrayList<>();
    private PortListener portListener;
    private int slotsInUse;
    private double memoryInUse;
    private boolean up = true;

    /** Changes whenever the process starts or ends, so that timers of an earlier one do nothing. */
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
        loadReports = new LoadReportHistory(group.slots(), terms.loadReportLagSeconds());
    }

    /** Sets the listener that is called when the worker's port opens or closes. */
    public void portListener(PortListener newListener) {
        portListener = newListener;
    }

    // ---- attempts

    /** Whether the worker's process runs; connections are refused otherwise. */
    public boolean isUp() {
        return up;
    }

    /** Accepts an attempt whose last byte has arrived: queues, starts, fails or rejects it. */
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
        return queue.isEmpty() && slotsInUse + slotsOf(attempt) <= group.slots();
    }

    /**
     * Notices that an attempt's connection was closed by the dispatcher: a queued attempt is
     * dropped, a running one continues without a connection.
     */
    public void cancel(WorkerAttempt attempt) {
        attempt.cancelled = true;
        if (!attempt.ended && queue.remove(attempt)) {
            memoryInUse -= attempt.memory;
            attempt.ended = true;
            startQueued();
        }
    }

    /** Runs a task after a delay, unless the process has ended or restarted in between. */
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

    // ---- slots

    /** The slots of an attempt; one that asks for more than there are gets all of them. */
    private int slotsOf(WorkerAttempt attempt) {
        return Math.min(attempt.slots, group.slots());
    }

    private void startQueued() {
        while (!queue.isEmpty() && !faults.isStalled()) {
            WorkerAttempt next = queue.peekFirst();
            if (slotsInUse + slotsOf(next) > group.slots()) {
                return;
            }
            queue.pollFirst();
            start(next);
        }
    }

    private void start(WorkerAttempt attempt) {
        slotsInUse += slotsOf(attempt);
        recordFreeSlots();
        running.add(attempt);
        attempt.startedAt = timeline.now();
        attempt.progressedAt = attempt.startedAt;
        // The ramp fraction of the start applies to the whole attempt, as if it had more work.
        attempt.remainingSeconds = attempt.workSeconds / rampFraction(attempt.startedAt);
        listener.onStarted(attempt, this);
        if (terms.reportsStart()) {
            responses.deliver(attempt, attempt.reply::onStarted);
        }
        scheduleCompletion(attempt);
        if (terms.progressIntervalSeconds() > 0) {
            scheduleProgress(attempt, attempt.remainingSeconds);
        }
    }

    /** Seconds of work done in a second, without slow start. */
    private double pace() {
        return faults.isStalled() ? 0 : group.speed() * faults.speedFactor();
    }

    private void scheduleCompletion(WorkerAttempt attempt) {
        double pace = pace();
        int version = ++attempt.completionVersion;
        if (pace > 0) {
            timeline.schedule(
                    attempt.remainingSeconds / pace,
                    () -> {
                        if (version == attempt.completionVersion && !attempt.ended) {
                            complete(attempt);
                        }
                    });
        }
    }

    private void complete(WorkerAttempt attempt) {
        running.remove(attempt);
        slotsInUse -= slotsOf(attempt);
        memoryInUse -= attempt.memory;
        recordFreeSlots();
        end(attempt, AttemptEnding.SUCCEEDED);
        startQueued();
    }

    private void scheduleProgress(WorkerAttempt attempt, double totalSeconds) {
        timeline.schedule(
                terms.progressIntervalSeconds(),
                () -> {
                    if (!attempt.ended && !attempt.cancelled) {
                        double left = remainingSeconds(attempt);
                        responses.deliver(
                                attempt, () -> attempt.reply.onProgress(1 - left / totalSeconds));
                        scheduleProgress(attempt, totalSeconds);
                    }
                });
    }

    private double remainingSeconds(WorkerAttempt attempt) {
        return remainingSeconds(attempt, timeline.now(), pace());
    }

    private static double remainingSeconds(WorkerAttempt attempt, double now, double pace) {
        return Math.max(0, attempt.remainingSeconds - (now - attempt.progressedAt) * pace);
    }

    /** Applies a change of the pace to the attempts that are running. */
    private void changePace(Runnable change) {
        double paceBefore = pace();
        change.run();
        double now = timeline.now();
        for (WorkerAttempt attempt : running) {
            attempt.remainingSeconds = remainingSeconds(attempt, now, paceBefore);
            attempt.progressedAt = now;
            scheduleCompletion(attempt);
        }
        startQueued();
    }

    private void end(WorkerAttempt attempt, AttemptEnding ending) {
        attempt.ended = true;
        boolean isDelivered = ending == AttemptEnding.CONNECTION_LOST || !faults.areResponsesLost();
        listener.onEnded(attempt, this, ending, isDelivered && !attempt.cancelled);
        double freeSlots =
                loadReports.reportedFreeSlots(timeline.now(), faults.reportDelaySeconds());
        responses.deliver(attempt, () -> attempt.reply.onEnded(ending, freeSlots));
    }

    private void recordFreeSlots() {
        loadReports.record(timeline.now(), group.slots() - slotsInUse);
    }

    // ---- faults

    void changeFailureFraction(double change) {
        faults.changeFailureFraction(change);
    }

    void setStalled(boolean begins) {
        changePace(() -> faults.setStalled(begins));
    }

    void changeSpeed(double factor) {
        changePace(() -> faults.multiplySpeed(factor));
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

    // ---- process

    /**
     * Drains the worker: it is listed as draining now, and ends once it is empty, but not before
     * every dispatcher has had time to learn of it.
     */
    void drain() {
        registry.update(this, EndpointRegistry.State.DRAINING, slowStart.startedAt());
        runInThisProcess(
                terms.endpointListLagSeconds() + terms.drainGraceSeconds(), this::crashWhenEmpty);
    }

    private void crashWhenEmpty() {
        if (running.isEmpty() && queue.isEmpty()) {
            crash();
        } else {
            runInThisProcess(EndpointRegistry.POLL_INTERVAL_SECONDS, this::crashWhenEmpty);
        }
    }

    /** Ends the process; the connections of its attempts are lost. */
    void crash() {
        incarnation++;
        up = false;
        registry.update(this, EndpointRegistry.State.REMOVED, slowStart.startedAt());
        List<WorkerAttempt> lost = new ArrayList<>(running);
        lost.addAll(queue);
        running.clear();
        queue.clear();
        slotsInUse = 0;
        memoryInUse = 0;
        slowStart.onProcessEnded();
        if (portListener != null) {
            portListener.onClosed(this);
        }
        lost.forEach(attempt -> end(attempt, AttemptEnding.CONNECTION_LOST));
        responses.resetInterrupted();
    }

    /** Starts a new process, which begins with slow start. */
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

    // ---- the true state, which no dispatcher sees

    /** The fraction of its capacity that the worker has at this time. */
    public double rampFraction(double at) {
        return slowStart.rampFraction(at);
    }

    /** The number of attempts that are running. */
    public int runningCount() {
        return running.size();
    }

    /** The number of attempts that wait for a slot. */
    public int queuedCount() {
        return queue.size();
    }

    /** The fraction of attempts that fail as soon as they arrive. */
    public double failureFraction() {
        return faults.failureFraction();
    }

    /**
     * Returns when an attempt that arrived now would be completed; infinity if it would not be, as
     * far as the faults in force show.
     */
    public double expectedCompletion(double workSeconds) {
        double now = timeline.now();
        double pace = pace() * rampFraction(now);
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
        for (WorkerAttempt attempt : running) {
            workAhead += remainingSeconds(attempt);
        }
        boolean hasFreeSlot = slotsInUse < group.slots() && queue.isEmpty();
        double waitSeconds = hasFreeSlot ? 0 : workAhead / group.slots();
        return now + (waitSeconds + workSeconds) / pace;
    }
}
