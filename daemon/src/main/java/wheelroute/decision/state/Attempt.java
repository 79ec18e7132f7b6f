package wheelroute.decision.state;

import wheelroute.decision.Endpoint;
import wheelroute.decision.Outcome;

/** One attempt of a request at one worker, from the moment it is sent until it has ended. */
public final class Attempt {
    /**
     * A job past its expected end is taken to need this fraction of what it has had already: sizes
     * are heavy-tailed.
     */
    private static final double OVERRUN_FRACTION = 0.3;

    private static final double NOT_STARTED = -1;

    public final TrackedRequest request;
    public final int number;
    public final WorkerState worker;

    /** The endpoint as listed at the send: its zone and cell bind a retry of the same key. */
    public final Endpoint endpoint;

    public final double sentAt;

    /** Seconds it was expected to wait behind this dispatcher's own attempts. */
    public final double ownWait;

    /** Seconds it was expected to wait in all. */
    public final double expectedWait;

    /** See {@link WorkerState#affinityRank}. */
    public final int affinityRank;

    private double startedAt = NOT_STARTED;
    private double heardAt = Double.POSITIVE_INFINITY;
    private double totalRun;
    private Outcome outcome;
    private boolean cancelled;
    private boolean retried;

    /** Creates an attempt that is sent now, with the waits expected at its worker. */
    public Attempt(TrackedRequest request, int number, WorkerState worker, double sentAt) {
        this.request = request;
        this.number = number;
        this.worker = worker;
        this.endpoint = worker.endpoint();
        this.sentAt = sentAt;
        this.ownWait = worker.estimates().ownWait();
        this.expectedWait = worker.estimates().expectedWait();
        this.affinityRank = worker.affinityRank();
    }

    /** Records when the worker began it. */
    public void start(double time) {
        startedAt = time;
    }

    /** Whether the worker is known to have begun it. */
    public boolean hasStarted() {
        return startedAt > 0;
    }

    /** When the worker began it, in seconds; below 0 while it has not. */
    public double startedAt() {
        return startedAt;
    }

    /** Records that the worker said something about it. */
    public void heard(double now) {
        heardAt = now;
    }

    /** An attempt that was sent later has begun, so this one, if no later word came, has too. */
    void heardAtLatest(double now) {
        heardAt = Math.min(heardAt, now);
    }

    /** When it was last heard of, in seconds; infinite while it may not have begun. */
    public double heardAt() {
        return heardAt;
    }

    /**
     * Records how far the worker is with it.
     *
     * @param share the part of the work that is done, above 0
     */
    public void progress(double now, double share) {
        totalRun = (now - startedAt) / Math.min(1, share);
    }

    void end(Outcome how) {
        outcome = how;
    }

    /** Null while the attempt is in flight. */
    public Outcome outcome() {
        return outcome;
    }

    /** Whether it has not ended yet. */
    public boolean isInFlight() {
        return outcome == null;
    }

    /** Whether the worker may have run it, or may still do so. */
    public boolean mayHaveRun() {
        return outcome == null || outcome.mayHaveRun();
    }

    /** Marks it as cancelled; its end is still to come. */
    public void cancel() {
        cancelled = true;
    }

    /** Whether it has been cancelled. */
    public boolean isCancelled() {
        return cancelled;
    }

    /** Marks that a retry elsewhere has been tried because of this attempt; once is enough. */
    public void markRetried() {
        retried = true;
    }

    /** Whether a retry elsewhere has been tried because of this attempt. */
    public boolean isRetried() {
        return retried;
    }

    /** Seconds of waiting, up to a moment, that this dispatcher's attempts ahead do not explain. */
    public double unexplainedWait(double until) {
        return until - sentAt - ownWait;
    }

    /** Seconds until it will have ended, once it has begun, at a worker of this speed. */
    public double remaining(double now, double speed) {
        boolean hasProgress = totalRun > 0;
        double run = hasProgress ? totalRun : request.work() / speed;
        double elapsed = hasStarted() ? now - startedAt : Math.max(0, now - sentAt - expectedWait);
        return Math.max(run - elapsed, hasProgress ? 0 : OVERRUN_FRACTION * elapsed);
    }
}
