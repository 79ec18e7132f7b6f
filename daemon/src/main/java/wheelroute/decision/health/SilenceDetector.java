package wheelroute.decision.health;

import java.util.ArrayList;
import java.util.function.Predicate;
import wheelroute.decision.Settings;
import wheelroute.decision.estimates.ModelStatistics;
import wheelroute.decision.routing.RequestPlacer;
import wheelroute.decision.routing.WorkerSelector;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.TrackedRequest;
import wheelroute.decision.state.WorkerState;

/**
 * Finds workers and attempts that keep silent for longer than is explained, and retries or hedges
 * what they hold: a hung or vanished worker looks merely busy.
 */
public final class SilenceDetector {
    /** Silence this long past what was expected is a fault: it covers transit and a pause. */
    private static final double TOLERANCE = 0.5;

    /** Expected times may be out by this factor before silence counts. */
    private static final double TOLERANCE_FACTOR = 2;

    /**
     * Hedged requests earned by each accepted one, none to begin with: a jam must not feed itself.
     */
    private static final double HEDGES_PER_REQUEST = 0.04;

    private static final double MAX_HEDGES = 2;

    private final DispatcherState state;
    private final RequestPlacer placer;
    private final WorkerSelector selector;
    private final OutlierEjection ejection;
    private double hedgesLeft;

    /** Creates the detector over the state of one dispatcher. */
    public SilenceDetector(
            DispatcherState state,
            RequestPlacer placer,
            WorkerSelector selector,
            OutlierEjection ejection) {
        this.state = state;
        this.placer = placer;
        this.selector = selector;
        this.ejection = ejection;
    }

    /** A request was accepted. */
    public void earnHedge() {
        hedgesLeft = Math.min(MAX_HEDGES, hedgesLeft + HEDGES_PER_REQUEST);
    }

    /** Looks at all workers with attempts in flight. */
    public void sweep() {
        state.workers().models().values().forEach(ModelStatistics::clearOverdueWait);
        for (WorkerState worker : new ArrayList<>(state.workers().busy())) {
            worker.estimates().noteRunning();
            check(worker);
            worker.estimates().noteWaiting();
        }
    }

    private void check(WorkerState worker) {
        double now = state.now();
        double progressIntervalSeconds = state.settings().progressIntervalSeconds();
        Attempt oldest = worker.inFlight().get(0);
        double silentFor = now - Math.max(worker.health().heardAt(), oldest.sentAt);
        if (silentFor > allowance(expectedSilence(worker, oldest, silentFor))) {
            if (!worker.health().isSilent()) {
                ejection.onSilence(worker);
            }
            retryElsewhere(worker, false, attempt -> true);
        } else if (progressIntervalSeconds > 0) {
            // One connection may fall silent beside others that go on.
            retryElsewhere(
                    worker,
                    false,
                    attempt -> now - attempt.heardAt() > allowance(nextMessage(attempt)));
        }
    }

    private static double allowance(double expected) {
        return TOLERANCE + TOLERANCE_FACTOR * expected;
    }

    private double expectedSilence(WorkerState worker, Attempt oldest, double silentFor) {
        Settings settings = state.settings();
        // What others wait is the measure: in a jam every start is late and no worker silent. The
        // most
        // of all waits takes a while to find, and is not asked for while silence is short.
        double expected =
                silentFor <= TOLERANCE
                        ? 0
                        : Math.max(oldest.expectedWait, worker.model().longestWait());
        if (oldest.hasStarted() || !settings.reportsStart()) {
            double run = oldest.request.work() / worker.estimates().speed();
            expected +=
                    settings.progressIntervalSeconds() > 0
                            ? settings.progressIntervalSeconds()
                            : TOLERANCE_FACTOR * run;
        }
        return expected;
    }

    /** Seconds until an attempt that runs tells of it: by its progress, or its end. */
    private double nextMessage(Attempt attempt) {
        double interval = state.settings().progressIntervalSeconds();
        double run = attempt.request.work() / attempt.worker.estimates().speed();
        return attempt.hasStarted() ? interval : Math.min(interval, run);
    }

    /**
     * Tries attempts of a worker again elsewhere.
     *
     * @param lost they have ended for certain, so that a retry is no hedged request
     */
    public void retryElsewhere(WorkerState worker, boolean lost, Predicate<Attempt> which) {
        for (Attempt attempt : new ArrayList<>(worker.inFlight())) {
            if ((lost || hedgesLeft >= 1) && which.test(attempt) && retry(attempt)) {
                hedgesLeft -= lost ? 0 : 1;
            }
        }
    }

    /** Where hedging is forbidden the attempt is cancelled first; its end leads to the retry. */
    private boolean retry(Attempt attempt) {
        TrackedRequest request = attempt.request;
        if (attempt.isRetried() || request.isDone() || request.isStreaming()) {
            return false;
        }
        attempt.markRetried();
        int before = request.attempts().size();
        if (state.settings().mayHedge()) {
            placer.place(request);
        } else if (state.settings().mayCancel() && mayRetryAfterCancel(attempt)) {
            placer.cancel(attempt);
        }
        return request.attempts().size() > before || attempt.isCancelled();
    }

    private boolean mayRetryAfterCancel(Attempt attempt) {
        TrackedRequest request = attempt.request;
        return switch (request.settings().idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_BY_KEY ->
                    attempt.worker.health().heardAt() > attempt.heardAt()
                            && selector.cheapestAmong(request, worker -> true) != null;
            case NON_IDEMPOTENT -> false;
        };
    }
}
