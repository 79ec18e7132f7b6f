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
 * Detects workers, and single attempts, from which no message has come for longer than expected.
 * Such a worker is ejected and its attempts are replaced, because a worker that hangs or has
 * vanished would otherwise look merely busy.
 */
public record UnresponsiveWorkerDetector(
        DecisionClock clock,
        Settings settings,
        WorkerTable workers,
        OutlierEjection ejection,
        AttemptReplacer replacer) {
    /**
     * The slack added to every expected response time, for network transit and a pause of the
     * process.
     */
    private static final double RESPONSE_SLACK_SECONDS = 0.5;

    /** The factor by which an expected time may be too short, because it is an estimate. */
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
        double secondsSinceResponse =
                now - Math.max(worker.health().lastResponseAt(), oldest.sentAt());
        if (secondsSinceResponse
                > timeoutSeconds(expectedSecondsToResponse(worker, oldest, secondsSinceResponse))) {
            if (!worker.health().isUnresponsive()) {
                ejection.onUnresponsive(worker);
            }
            replacer.replaceWithinBudget(worker, attempt -> true);
        } else if (settings.progressIntervalSeconds() > 0) {
            // A single connection may be broken while the worker responds on its other connections.
            replacer.replaceWithinBudget(worker, attempt -> isUnresponsive(attempt, now));
        }
        if (!worker.health().isUnresponsive()) {
            // The waits at an unresponsive worker are caused by that worker alone and say nothing
            // about its model.
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
     * Returns the time for which a responsive worker may send nothing while its oldest attempt is
     * in flight.
     */
    private double expectedSecondsToResponse(
            WorkerState worker, Attempt oldest, double secondsSinceResponse) {
        // The wait is compared with those at other workers of the model, because every start is
        // late but no worker is unresponsive when all are overloaded. The longest wait is costly
        // to find and is not needed before the slack is used up.
        double expected =
                secondsSinceResponse <= RESPONSE_SLACK_SECONDS
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
     * Returns the expected seconds until the next message, which is a progress report or, for an
     * attempt not known to have started, possibly the end of its run.
     */
    private double secondsBetweenMessages(Attempt attempt, double now) {
        double interval = settings.progressIntervalSeconds();
        double run = attempt.request().work() / attempt.worker().estimates().speed(now);
        return attempt.hasStarted() ? interval : Math.min(interval, run);
    }
}
