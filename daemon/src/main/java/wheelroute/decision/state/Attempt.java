package wheelroute.decision.state;

import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Outcome;
import wheelroute.decision.estimates.Candidate;

/** One attempt of a request at one worker, from the time at which it is sent until it has ended. */
public final class Attempt {
    /**
     * Minimum expected remaining run time of a job without progress reports, as a fraction of its
     * elapsed run time. Job sizes are heavy-tailed, so that an overdue job is likely to run on.
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

    /**
     * Creates an attempt that is sent to the chosen worker at the time {@code sentAt}, in seconds.
     */
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

    public TrackedRequest request() {
        return request;
    }

    /** Returns the number of the attempt among those of its request, from 0. */
    public int number() {
        return number;
    }

    public WorkerState worker() {
        return worker;
    }

    /**
     * Returns the endpoint of the worker as it was listed when the attempt was sent. The zone and
     * cell of that endpoint restrict a retry with the same key.
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns what restricts a later attempt, whether of this request or of one with its id. */
    public EarlierAttempt asEarlier() {
        return new EarlierAttempt(endpoint.zone(), endpoint.cell(), sentAt);
    }

    /** Returns the time at which the attempt was sent, in seconds. */
    public double sentAt() {
        return sentAt;
    }

    /**
     * Returns how long the attempt was expected to wait behind other attempts of this dispatcher,
     * as of the time at which it was sent.
     */
    public double ownWaitSeconds() {
        return ownWaitSeconds;
    }

    /** Returns the total expected wait as of the time at which the attempt was sent. */
    public double expectedWaitSeconds() {
        return expectedWaitSeconds;
    }

    /** Returns {@link Candidate#affinityRank} as of the time at which the attempt was sent. */
    public int affinityRank() {
        return affinityRank;
    }

    /** Records the time at which the worker began the attempt, in seconds. */
    public void recordStart(double time) {
        startedAt = time;
    }

    /**
     * Returns whether a start of the attempt was recorded, by a report or by its first progress.
     */
    public boolean hasStarted() {
        return startedAt > 0;
    }

    /** Returns the recorded start of the attempt, in seconds; negative while there is none. */
    public double startedAt() {
        return startedAt;
    }

    /** Records that a message from the worker about the attempt has arrived. */
    public void recordMessage(double now) {
        lastMessageAt = now;
    }

    /**
     * Records that the attempt must have begun by now, because the worker has begun this attempt or
     * one that was sent no earlier. From now on the worker should send messages about the attempt.
     */
    void recordInferredStart(double now) {
        lastMessageAt = Math.min(lastMessageAt, now);
    }

    /**
     * Returns the time of the last message about the attempt, or of its inferred start if there was
     * no message, in seconds; infinite while the attempt may not have begun.
     */
    public double lastMessageAt() {
        return lastMessageAt;
    }

    /**
     * Records the part of the work that is done, from which the expected run time is computed.
     *
     * @param share the part that is done, above 0; values above 1 count as 1
     */
    public void recordProgress(double now, double share) {
        expectedRunSeconds = (now - startedAt) / Math.min(1, share);
    }

    void end(Outcome endOutcome) {
        outcome = endOutcome;
    }

    /** Returns the outcome of the attempt; null while it is in flight. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns whether the attempt has not ended yet. */
    public boolean isInFlight() {
        return outcome == null;
    }

    /** Returns whether the worker may have run the attempt, or may still run it. */
    public boolean mayHaveRun() {
        return outcome == null || outcome.mayHaveRun();
    }

    /** Marks the attempt as cancelled. The attempt stays in flight until its end is recorded. */
    public void cancel() {
        cancelled = true;
    }

    public boolean isCancelled() {
        return cancelled;
    }

    /** Marks that a replacement at another worker was tried, which happens at most once. */
    public void markReplacementTried() {
        replaced = true;
    }

    /** Returns whether a replacement at another worker was tried, successfully or not. */
    public boolean isReplacementTried() {
        return replaced;
    }

    /**
     * Returns the part of the wait until a given time, in seconds, that this dispatcher's own
     * attempts do not explain.
     */
    public double unexplainedWait(double until) {
        return until - sentAt - ownWaitSeconds;
    }

    /**
     * Returns the expected remaining run time at a worker of this speed, in seconds. An attempt
     * without a recorded start is assumed to start after its expected wait.
     */
    public double remainingSeconds(double now, double speed) {
        boolean hasProgress = expectedRunSeconds > 0;
        double run = hasProgress ? expectedRunSeconds : request.work() / speed;
        double elapsed =
                hasStarted() ? now - startedAt : Math.max(0, now - sentAt - expectedWaitSeconds);
        return Math.max(run - elapsed, hasProgress ? 0 : OVERRUN_FRACTION * elapsed);
    }
}
