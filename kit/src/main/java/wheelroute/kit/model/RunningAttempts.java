package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wheelroute.kit.scenario.Scenario;

/**
 * The attempts that run on a worker's slots. An attempt completes when its work is done; the pace
 * of the work depends on the worker's speed and on faults.
 */
final class RunningAttempts {
    private final WorkerModel worker;
    private final ModelContext context;
    private final WorkerFaults faults;
    private final SlowStartModel slowStart;
    private final WorkerResponses responses;
    private final Consumer<WorkerAttempt> onCompleted;
    private final Timeline timeline;
    private final Scenario.WorkerGroup group;
    private final LoadReportHistory loadReports;
    private final List<WorkerAttempt> attempts = new ArrayList<>();
    private int slotsInUse;

    /**
     * Creates the slots of a worker, all of them free.
     *
     * @param onCompleted called when an attempt has completed and its slots are free
     */
    RunningAttempts(
            WorkerModel worker,
            ModelContext context,
            WorkerFaults faults,
            SlowStartModel slowStart,
            WorkerResponses responses,
            Consumer<WorkerAttempt> onCompleted) {
        this.worker = worker;
        this.context = context;
        this.faults = faults;
        this.slowStart = slowStart;
        this.responses = responses;
        this.onCompleted = onCompleted;
        timeline = context.timeline();
        group = worker.group;
        loadReports = new LoadReportHistory(group.slots(), context.terms().loadReportLagSeconds());
    }

    int count() {
        return attempts.size();
    }

    List<WorkerAttempt> attempts() {
        return attempts;
    }

    boolean hasFreeSlot() {
        return slotsInUse < group.slots();
    }

    boolean hasSlotsFor(WorkerAttempt attempt) {
        return slotsInUse + slotsOf(attempt) <= group.slots();
    }

    /** Returns the slots that an attempt occupies: at most all slots of the worker. */
    private int slotsOf(WorkerAttempt attempt) {
        return Math.min(attempt.slots, group.slots());
    }

    void start(WorkerAttempt attempt) {
        slotsInUse += slotsOf(attempt);
        recordFreeSlots();
        attempts.add(attempt);
        attempt.startedAt = timeline.now();
        attempt.progressedAt = attempt.startedAt;
        // The ramp fraction at the start applies to the whole attempt, and is modeled as more work.
        attempt.remainingSeconds = attempt.workSeconds / slowStart.rampFraction(attempt.startedAt);
        context.listener().onStarted(attempt, worker);
        if (context.terms().reportsStart()) {
            responses.deliver(attempt, attempt.reply::onStarted);
        }
        scheduleCompletion(attempt);
        if (context.terms().progressIntervalSeconds() > 0) {
            scheduleProgress(attempt, attempt.remainingSeconds);
        }
    }

    /** Removes and returns all attempts; the caller must mark them as ended. */
    List<WorkerAttempt> removeAll() {
        List<WorkerAttempt> removed = new ArrayList<>(attempts);
        attempts.clear();
        slotsInUse = 0;
        return removed;
    }

    /** Returns the seconds of work done per second, without the effect of slow start. */
    double pace() {
        return faults.isStalled() ? 0 : group.speed() * faults.speedFactor();
    }

    /** Applies a change of the pace, and reschedules the completion of all running attempts. */
    void changePace(Runnable change) {
        double paceBefore = pace();
        change.run();
        double now = timeline.now();
        for (WorkerAttempt attempt : attempts) {
            attempt.remainingSeconds = remainingSeconds(attempt, now, paceBefore);
            attempt.progressedAt = now;
            scheduleCompletion(attempt);
        }
    }

    /** Returns the seconds of work that are left of an attempt. */
    double remainingSeconds(WorkerAttempt attempt) {
        return remainingSeconds(attempt, timeline.now(), pace());
    }

    private static double remainingSeconds(WorkerAttempt attempt, double now, double pace) {
        return Math.max(0, attempt.remainingSeconds - (now - attempt.progressedAt) * pace);
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
        attempts.remove(attempt);
        slotsInUse -= slotsOf(attempt);
        recordFreeSlots();
        onCompleted.accept(attempt);
    }

    private void scheduleProgress(WorkerAttempt attempt, double totalSeconds) {
        timeline.schedule(
                context.terms().progressIntervalSeconds(),
                () -> {
                    if (!attempt.ended && !attempt.cancelled) {
                        double left = remainingSeconds(attempt);
                        responses.deliver(
                                attempt, () -> attempt.reply.onProgress(1 - left / totalSeconds));
                        scheduleProgress(attempt, totalSeconds);
                    }
                });
    }

    private void recordFreeSlots() {
        loadReports.record(timeline.now(), group.slots() - slotsInUse);
    }

    /** Returns the free slots that a load report sent now contains; NaN if none are sent. */
    double reportedFreeSlots() {
        return loadReports.reportedFreeSlots(timeline.now(), faults.reportDelaySeconds());
    }
}
