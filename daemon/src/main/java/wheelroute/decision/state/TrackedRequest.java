package wheelroute.decision.state;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;
import wheelroute.decision.order.KeyQueue;
import wheelroute.decision.routing.KeyAffinity;

/** The state of one accepted request: its attempts and how far it is. */
public final class TrackedRequest {
    private final Request request;
    private final RequestClassState requestClass;
    private final double work;
    private final double slots;
    private final double acceptedAt;
    private final KeyAffinity<WorkerState>.Placement affinity;
    private final KeyQueue queue;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private double keyBlockedUntil = Double.NEGATIVE_INFINITY;
    private int inFlight;
    private boolean done;
    private boolean streaming;
    private boolean invalid;
    private boolean failed;

    /**
     * Creates the state of a request that is accepted now.
     *
     * @param affinity where its key's data is likely cached; null without a key
     * @param queue in which it waits for its turn; null where its class is not ordered
     */
    public TrackedRequest(
            Request request,
            RequestClassState requestClass,
            double acceptedAt,
            KeyAffinity<WorkerState>.Placement affinity,
            KeyQueue queue) {
        this.request = request;
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

    /** Returns the state of its class. */
    public RequestClassState requestClass() {
        return requestClass;
    }

    /** Returns the settings of its class. */
    public Settings.RequestClass settings() {
        return requestClass.settings();
    }

    /** Returns its priority weight. */
    public double value() {
        return requestClass.value();
    }

    /** Returns its expected work on a standard core, in seconds. */
    public double work() {
        return work;
    }

    /** Returns how many slots of a worker it needs, 1 or more. */
    public double slots() {
        return slots;
    }

    /** Returns when it was accepted, in seconds. */
    public double acceptedAt() {
        return acceptedAt;
    }

    /** Returns where its key's data is likely cached; null without a key. */
    public KeyAffinity<WorkerState>.Placement affinity() {
        return affinity;
    }

    /** Returns the queue in which it waits for its turn; null where its class is not ordered. */
    public KeyQueue queue() {
        return queue;
    }

    /** Returns its attempts in the order of their numbers, from 0. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Returns an attempt by its number; null for a number that was never given. */
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

    /** Records what an attempt's outcome says about the request itself. */
    public void noteOutcome(Outcome outcome) {
        invalid |= outcome == Outcome.INVALID_REQUEST;
        failed |= outcome == Outcome.FAILED;
    }

    /** Whether an attempt is in flight. */
    public boolean hasInFlight() {
        return inFlight > 0;
    }

    /** Marks that it needs no answer any more: it has one, or its client is gone. */
    public void finish() {
        done = true;
    }

    /** Whether it needs no answer any more. */
    public boolean isDone() {
        return done;
    }

    /** Whether it needs no answer any more and no attempt is in flight. */
    public boolean isComplete() {
        return done && inFlight == 0;
    }

    /** Marks that part of a result was sent to the client, so that no other attempt may answer. */
    public void markStreaming() {
        streaming = true;
    }

    /** Whether part of a result was sent to the client. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Whether a worker found the request itself to be invalid. */
    public boolean isInvalid() {
        return invalid;
    }

    /** Whether an attempt of it has failed. */
    public boolean hasFailed() {
        return failed;
    }

    /** Whether any attempt may have run. */
    public boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Sets the time until which an attempt of it may still run, so that its key is blocked. */
    public void blockKeyUntil(double time) {
        keyBlockedUntil = time;
    }

    /** Returns the time before which no other request of its key may begin. */
    public double keyBlockedUntil() {
        return keyBlockedUntil;
    }

    /** Returns the expected seconds until all its attempts have ended. */
    public double remainingSeconds(double now) {
        double longest = 0;
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight()) {
                double ahead =
                        attempt.hasStarted()
                                ? 0
                                : attempt.sentAt() + attempt.expectedWaitSeconds() - now;
                double run = attempt.remainingSeconds(now, attempt.worker().estimates().speed(now));
                longest = Math.max(longest, Math.max(0, ahead) + run);
            }
        }
        return longest;
    }
}
