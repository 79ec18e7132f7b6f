package wheelroute.decision.state;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;
import wheelroute.decision.order.KeyQueue;
import wheelroute.decision.routing.KeyAffinity;

/** The state of one accepted request: its attempts and its progress towards a final answer. */
public final class TrackedRequest {
    private final Request request;
    private final RequestClassState requestClass;
    private final double work;
    private final double slots;
    private final double acceptedAt;
    private final KeyAffinity<WorkerState>.CacheLocations affinity;
    private final KeyQueue queue;
    private final List<Attempt> attempts = new ArrayList<>(2);

    /** Copied when another process tells of an attempt, which is rare. */
    private List<EarlierAttempt> earlierAttempts;

    private double keyBlockedUntil = Double.NEGATIVE_INFINITY;
    private int inFlight;
    private boolean closed;
    private boolean streaming;
    private boolean invalid;
    private boolean failed;

    /**
     * Creates the state of a request that is accepted now.
     *
     * @param acceptedAt the current time, in seconds
     * @param affinity the workers that likely cache the data of the request's key; null if the
     *     request has no key
     * @param queue the queue of the request's key; null if the request class is not ordered
     */
    public TrackedRequest(
            Request request,
            RequestClassState requestClass,
            double acceptedAt,
            KeyAffinity<WorkerState>.CacheLocations affinity,
            KeyQueue queue) {
        this.request = request;
        earlierAttempts = request.earlierAttempts();
        this.requestClass = requestClass;
        this.work = requestClass.estimates().workFor(request.estimatedWork());
        this.slots = Math.max(1, request.slots());
        this.acceptedAt = acceptedAt;
        this.affinity = affinity;
        this.queue = queue;
    }

    /** Returns the request as the client sent it. */
    public Request request() {
        return request;
    }

    public RequestClassState requestClass() {
        return requestClass;
    }

    /** Returns the settings of the request class. */
    public Settings.RequestClass settings() {
        return requestClass.settings();
    }

    /** Returns the priority weight of the request class, above 0. */
    public double priorityWeight() {
        return requestClass.priorityWeight();
    }

    /** Returns the expected work of the request, in seconds on a standard core. */
    public double work() {
        return work;
    }

    /** Returns how many slots of a worker the request needs, 1 or more. */
    public double slots() {
        return slots;
    }

    /** Returns the time at which the request was accepted, in seconds. */
    public double acceptedAt() {
        return acceptedAt;
    }

    /**
     * Returns the workers that likely cache the data of the request's key; null if the request has
     * no key.
     */
    public KeyAffinity<WorkerState>.CacheLocations affinity() {
        return affinity;
    }

    /** Returns the queue of the request's key; null if the request class is not ordered. */
    public KeyQueue queue() {
        return queue;
    }

    /** Returns the live list of attempts; the index of an attempt is its number. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Returns the attempt with this number; null if there is none. */
    public Attempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    /** Adds an attempt that has just been sent. */
    public void add(Attempt attempt) {
        attempts.add(attempt);
        inFlight++;
    }

    /** Records the end of an attempt. */
    public void end(Attempt attempt, Outcome outcome) {
        attempt.end(outcome);
        inFlight--;
    }

    /**
     * Records whether the outcome of an attempt shows that the request is invalid or has failed.
     */
    public void noteOutcome(Outcome outcome) {
        invalid |= outcome == Outcome.INVALID_REQUEST;
        failed |= outcome == Outcome.FAILED;
    }

    /** Returns whether any attempt of the request is in flight. */
    public boolean hasInFlight() {
        return inFlight > 0;
    }

    /** Closes the request, because it is answered or its client has disconnected. */
    public void markClosed() {
        closed = true;
    }

    /** Returns whether the request is answered or its client has disconnected. */
    public boolean isClosed() {
        return closed;
    }

    /** Returns whether the request is closed and has no attempt in flight. */
    public boolean isComplete() {
        return closed && inFlight == 0;
    }

    /** Marks that part of a result was sent to the client, so that no other attempt may answer. */
    public void markStreaming() {
        streaming = true;
    }

    /** Returns whether part of a result was sent to the client. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Returns whether a worker found the request itself to be invalid. */
    public boolean isInvalid() {
        return invalid;
    }

    /** Returns whether any attempt of the request has failed. */
    public boolean hasFailed() {
        return failed;
    }

    /** Returns the attempts that may have run of earlier requests which this one repeats. */
    public List<EarlierAttempt> earlierAttempts() {
        return earlierAttempts;
    }

    /** Adds an attempt that may have run of a request which this one repeats. */
    public void addEarlierAttempt(EarlierAttempt attempt) {
        earlierAttempts = new ArrayList<>(earlierAttempts);
        earlierAttempts.add(attempt);
    }

    /** Returns whether any attempt may have run, of this request or one which it repeats. */
    public boolean mayHaveRun() {
        if (!earlierAttempts.isEmpty()) {
            return true;
        }
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the attempts that may have run, of requests which this one repeats and of itself. */
    public List<EarlierAttempt> attemptsThatMayHaveRun() {
        List<EarlierAttempt> all = new ArrayList<>(earlierAttempts);
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                all.add(attempt.asEarlier());
            }
        }
        return all;
    }

    /**
     * Blocks the key of the request until this time, in seconds, as an attempt may still be running
     * until then.
     */
    public void blockKeyUntil(double time) {
        keyBlockedUntil = time;
    }

    /**
     * Returns the time before which no other request of the same key may begin, in seconds;
     * negative infinity if none was set.
     */
    public double keyBlockedUntil() {
        return keyBlockedUntil;
    }

    /** Returns the expected time until all attempts in flight have ended, in seconds. */
    public double remainingSeconds(double now) {
        double longest = 0;
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight()) {
                double remainingWait =
                        attempt.hasStarted()
                                ? 0
                                : attempt.sentAt() + attempt.expectedWaitSeconds() - now;
                double run = attempt.remainingSeconds(now, attempt.worker().estimates().speed(now));
                longest = Math.max(longest, Math.max(0, remainingWait) + run);
            }
        }
        return longest;
    }
}
