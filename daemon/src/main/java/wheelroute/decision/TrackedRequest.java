package wheelroute.decision;

import java.util.ArrayList;
import java.util.List;

/** The state of one accepted request: its attempts and how far it is. */
final class TrackedRequest {
    private final Request request;
    private final RequestClassState requestClass;
    private final double work;
    private final double slots;
    private final double acceptedAt;
    private final KeyAffinity<WorkerState>.Placement affinity;
    private final KeyQueue queue;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private double keyQuietUntil = Double.NEGATIVE_INFINITY;
    private int inFlight;
    private boolean done;
    private boolean streaming;
    private boolean invalid;
    private boolean failedBefore;

    /**
     * @param affinity where its key's data is likely cached; null without a key
     * @param queue in which it waits for its turn; null where its class is not ordered
     */
    TrackedRequest(
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

    Request request() {
        return request;
    }

    RequestClassState requestClass() {
        return requestClass;
    }

    /** The settings of its class. */
    Settings.RequestClass settings() {
        return requestClass.settings();
    }

    /** What it is worth, as a priority weight. */
    double value() {
        return requestClass.value();
    }

    /** Expected work on a standard core, in seconds. */
    double work() {
        return work;
    }

    /** Slots of a worker that it takes, 1 or more. */
    double slots() {
        return slots;
    }

    double acceptedAt() {
        return acceptedAt;
    }

    KeyAffinity<WorkerState>.Placement affinity() {
        return affinity;
    }

    KeyQueue queue() {
        return queue;
    }

    /** In the order of their numbers, from 0. */
    List<Attempt> attempts() {
        return attempts;
    }

    /** Null for a number that was never given. */
    Attempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    void add(Attempt attempt) {
        attempts.add(attempt);
        inFlight++;
    }

    void end(Attempt attempt, Outcome outcome) {
        attempt.end(outcome);
        inFlight--;
    }

    /** The last attempt's outcome counts for what may be tried next. */
    void noteOutcome(Outcome outcome) {
        invalid |= outcome == Outcome.INVALID_REQUEST;
        failedBefore |= outcome == Outcome.FAILED;
    }

    boolean hasInFlight() {
        return inFlight > 0;
    }

    /** It needs no answer any more: it has one, or nobody waits for it. */
    void finish() {
        done = true;
    }

    boolean isDone() {
        return done;
    }

    boolean isComplete() {
        return done && inFlight == 0;
    }

    /** Part of a result is with the client: no other attempt may answer. */
    void markStreaming() {
        streaming = true;
    }

    boolean isStreaming() {
        return streaming;
    }

    /** A worker found fault with the request itself. */
    boolean isInvalid() {
        return invalid;
    }

    /** An attempt of it has ended in an error. */
    boolean hasFailed() {
        return failedBefore;
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** An attempt of it may run until then, so no other request of its key may begin earlier. */
    void keepKeyQuietUntil(double time) {
        keyQuietUntil = time;
    }

    double keyQuietUntil() {
        return keyQuietUntil;
    }

    /** Seconds until its attempts have ended, as far as is known. */
    double remaining(double now) {
        double longest = 0;
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight()) {
                double ahead =
                        attempt.hasStarted() ? 0 : attempt.sentAt + attempt.expectedWait - now;
                double run = attempt.remaining(now, attempt.worker.estimates().speed());
                longest = Math.max(longest, Math.max(0, ahead) + run);
            }
        }
        return longest;
    }
}
