package wheelroute.decision.state;

import wheelroute.decision.Endpoint;
import wheelroute.decision.Outcome;
import wheelroute.decision.estimates.Candidate;

/** One attempt of a request at one worker, from its send until it has ended. */
public final class Attempt {
    /**
     * An overdue job is expected to need this fraction of its elapsed time once more, because job
     * sizes are heavy-tailed.
     */
    private static final double OVERRUN_FRACTION = 0.3;

    private static final double NOT_STARTED = -1;

    private final TrackedRequest request;
    private final int number;
    private final WorkerState worker;
    private final Endpoint endpoint;
    private final double sentAt;
    private final double ownWaitSeconds;
    private final double expectedWaitSeconds;
    private final int affinityRank;
    private double startedAt = NOT_STARTED;
    private double lastMessageAt = Double.POSITIVE_INFINITY;
    private double expectedRunSeconds;
    private Outcome outcome;
    private boolean cancelled;
    private boolean replaced;

    /** Creates an attempt that is sent now to the worker that was chosen. */
    public Attempt(TrackedRequest request, int number, Candidate chosen, double sentAt) {
        this.request = request;
        this.number = number;
        this.worker = chosen.worker();
        this.endpoint = worker.endpoint();
        this.sentAt = sentAt;
        this.ownWaitSeconds = chosen.ownWaitSeconds();
        this.expectedWaitSeconds = chosen.expectedWaitSeconds();
        this.affinityRank = chosen.affinityRank();
    }

    /** Returns the request that it is an attempt of. */
    public TrackedRequest request() {
        return request;
    }

    /** Returns its number among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    /** Returns the worker that it was sent to. */
    public WorkerState worker() {
        return worker;
    }

    /**
     * Returns the worker's endpoint as listed at the send: its zone and cell bind a retry with the
     * same key.
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns when it was sent, in seconds. */
    public double sentAt() {
        return sentAt;
    }

    /** Returns how long it was expected to wait behind this dispatcher's own attempts. */
    public double ownWaitSeconds() {
        return ownWaitSeconds;
    }

    /** Returns how long it was expected to wait in all. */
    public double expectedWaitSeconds() {
        return expectedWaitSeconds;
    }

    /** Returns {@link Candidate#affinityRank} as of the send. */
    public int affinityRank() {
        return affinityRank;
    }

    /** Records when the worker began it. */
    public void recordStart(double time) {
        startedAt = time;
    }

    /** Whether the worker is known to have begun it. */
    public boolean hasStarted() {
        return startedAt > 0;
    }

    /** Returns when the worker began it, in seconds; negative while it has not. */
    public double startedAt() {
        return startedAt;
    }

    /** Records a message from the worker about it. */
    public void recordMessage(double now) {
        lastMessageAt = now;
    }

    /**
     * Records that it has begun by now, as an attempt that was sent later has: from then on the
     * worker should report about it.
     */
    void recordBegunBy(double now) {
        lastMessageAt = Math.min(lastMessageAt, now);
    }

    /**
     * Returns when the worker last reported about it or it was inferred to have begun, in seconds;
     * infinite while it may not have begun.
     */
    public double lastMessageAt() {
        return lastMessageAt;
    }

    /**
     * Records the part of the work that is done.
     *
     * @param share above 0
     */
    public void recordProgress(double now, double share) {
        expectedRunSeconds = (now - startedAt) / Math.min(1, share);
    }

    void end(Outcome how) {
        outcome = how;
    }

    /** Returns how it ended; null while it is in flight. */
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

    /** Marks that a replacement elsewhere has been tried, which is done only once. */
    public void markReplaced() {
        replaced = true;
    }

    /** Whether a replacement elsewhere has been tried. */
    public boolean isReplaced() {
        return replaced;
    }

    /**
     * Returns the seconds of waiting, up to a time, that this dispatcher's own attempts do not
     * explain.
     */
    public double unexplainedWait(double until) {
        return until - sentAt - ownWaitSeconds;
    }

    /** Returns the seconds from its start, or from now, until its end at a worker of this speed. */
    public double remainingSeconds(double now, double speed) {
        boolean hasProgress = expectedRunSeconds > 0;
        double run = hasProgress ? expectedRunSeconds : request.work() / speed;
        double elapsed =
                hasStarted() ? now - startedAt : Math.max(0, now - sentAt - expectedWaitSeconds);
        return Math.max(run - elapsed, hasProgress ? 0 : OVERRUN_FRACTION * elapsed);
    }
}
