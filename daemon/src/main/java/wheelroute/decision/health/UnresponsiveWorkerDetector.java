package wheelroute.decision.health;

import java.util.ArrayList;
import wheelroute.decision.Settings;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.retry.AttemptReplacer;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DecisionClock;
import wheelroute.decision.state.WorkerState;
import wheelroute.decision.state.WorkerTable;

/**
 * Finds workers, and single attempts, from which no message has come for longer than expected. Such
 * a worker is ejected, and its attempts are replaced: one that hangs or has vanished would
 * otherwise look merely busy.
 */
public record UnresponsiveWorkerDetector(
        DecisionClock clock,
        Settings settings,
        WorkerTable workers,
        OutlierEjection ejection,
        AttemptReplacer replacer) {
    /** Added to every expected response time, for network transit and a pause of the process. */
    private static final double RESPONSE_SLACK_SECONDS = 0.5;

    /** Expected times are estimates, and may be too short by this factor. */
    private static final double ESTIMATE_FACTOR = 2;

    /** Inspects all workers with attempts in flight. */
    public void sweep() {
        workers.models().values().forEach(ModelStatistics::clearOverdueWait);
        for (WorkerState worker : new ArrayList<>(workers.busy())) {
            inspect(worker, clock.now());
        }
    }

    private void inspect(WorkerState worker, double now) {
        worker.estimates().recordRunningJobs(now);
        Attempt oldest = worker.inFlight().get(0);
        double quietSeconds = now - Math.max(worker.health().lastResponseAt(), oldest.sentAt());
        if (quietSeconds > timeoutSeconds(expectedQuietSeconds(worker, oldest, quietSeconds))) {
            if (!worker.health().isUnresponsive()) {
                ejection.onUnresponsive(worker);
            }
            replacer.replaceWithinBudget(worker, attempt -> true);
        } else if (settings.progressIntervalSeconds() > 0) {
            // A single connection may be broken while the worker responds on the others.
            replacer.replaceWithinBudget(worker, attempt -> isUnresponsive(attempt, now));
        }
        if (!worker.health().isUnresponsive()) {
            // The waits at an unresponsive worker are its own fault and say nothing of its model.
            worker.estimates().recordOverdueWaits(now);
        }
    }

    private boolean isUnresponsive(Attempt attempt, double now) {
        return now - attempt.lastMessageAt() > timeoutSeconds(secondsBetweenMessages(attempt, now));
    }

    private static double timeoutSeconds(double expectedSeconds) {
        return RESPONSE_SLACK_SECONDS + ESTIMATE_FACTOR * expectedSeconds;
    }

    /**
     * Returns how long a responsive worker may send nothing while its oldest attempt is in flight.
     */
    private double expectedQuietSeconds(WorkerState worker, Attempt oldest, double quietSeconds) {
        // Measured against the waits at other workers of the model: when all are overloaded, every
        // start is late and none is unresponsive. The longest wait takes a while to find, and is
        // not needed before the slack is used up.
        double expected =
                quietSeconds <= RESPONSE_SLACK_SECONDS
                        ? 0
                        : Math.max(oldest.expectedWaitSeconds(), worker.model().longestWait());
        if (oldest.hasStarted() || !settings.reportsStart()) {
            double run = oldest.request().work() / worker.estimates().speed(clock.now());
            expected +=
                    settings.progressIntervalSeconds() > 0
                            ? settings.progressIntervalSeconds()
                            : ESTIMATE_FACTOR * run;
        }
        return expected;
    }

    /**
     * Returns the seconds until the next message: progress, or the end of a run not yet reported.
     */
    private double secondsBetweenMessages(Attempt attempt, double now) {
        double interval = settings.progressIntervalSeconds();
        double run = attempt.request().work() / attempt.worker().estimates().speed(now);
        return attempt.hasStarted() ? interval : Math.min(interval, run);
    }
}
