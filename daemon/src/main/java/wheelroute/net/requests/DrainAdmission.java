package wheelroute.net.requests;

import java.util.function.BooleanSupplier;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Settings;
import wheelroute.decision.admission.Admission;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * Admission during a graceful shutdown: which requests are still accepted, which client connections
 * are kept open, and which Retry-After a rejected client is sent.
 *
 * <p>A request that was read completely passes three checks, each with a question of its own.
 * {@link RequestDispatcher#accept} checks whether the message is valid. This class, which knows
 * only when the process ends, checks whether the request can complete before that. {@link
 * Admission}, inside the policy, checks whether the wait at the workers is acceptable, and knows
 * nothing of the process.
 *
 * <p>Only for the event loop's thread.
 */
final class DrainAdmission {
    /**
     * While draining, a request is admitted if this multiple of its estimated work still fits.
     * Estimates are off by up to a factor of two in either direction. An idempotent request may be
     * tried in spite of that, as its client can repeat it elsewhere.
     */
    private static final double IDEMPOTENT_ESTIMATE_FACTOR = 0.6;

    /** The same factor for requests that must not run twice. */
    private static final double AT_MOST_ONCE_ESTIMATE_FACTOR = 1.5;

    /** Added to a request's estimated work, for queueing and the network. */
    private static final double QUEUEING_ALLOWANCE_SECONDS = 0.1;

    /** Time from the end of the drain until the restarted dispatcher accepts clients. */
    private static final double RESTART_SECONDS = 2;

    /** Only moves forward: {@link #begin} leaves SERVING, and {@link #end} leads to ENDED. */
    private enum State {
        /** Everything is admitted. */
        SERVING,
        /**
         * If clients cannot go to another dispatcher, or a successor serves, requests that do not
         * fit into the time left are rejected; otherwise every request is still admitted.
         */
        DRAINING,
        /** The deadline has passed: requests are admitted, but no attempt is sent any more. */
        ENDED
    }

    private final EventLoop loop;
    private final Settings settings;
    private final BooleanSupplier hasSuccessor;
    private State state = State.SERVING;

    /** On the event loop's clock, in seconds; meaningful only from {@link #begin} on. */
    private double drainDeadline;

    /**
     * Creates an admission that admits everything until {@link #begin}.
     *
     * @param hasSuccessor whether a successor process accepts clients in place of this one
     */
    DrainAdmission(EventLoop loop, Settings settings, BooleanSupplier hasSuccessor) {
        this.loop = loop;
        this.settings = settings;
        this.hasSuccessor = hasSuccessor;
    }

    /**
     * Starts draining.
     *
     * @param deadline on the event loop's clock, in seconds; requests still open then are ended
     */
    void begin(double deadline) {
        if (state == State.SERVING) {
            state = State.DRAINING;
        }
        drainDeadline = deadline;
    }

    /** Ends admission for good: the process is about to exit. */
    void end() {
        state = State.ENDED;
    }

    /** Whether a graceful shutdown has begun. */
    boolean isDraining() {
        return state != State.SERVING;
    }

    /** Whether admission has ended for good. */
    boolean hasEnded() {
        return state == State.ENDED;
    }

    /**
     * Whether clients are served on their connections until the drain ends. A draining dispatcher
     * closes its connections so that clients go to another dispatcher or to the successor process;
     * with neither, they could not connect to anything until the restart.
     */
    private boolean servesUntilDeadline() {
        return isDraining() && settings.dispatchers() <= 1 && !hasSuccessor.getAsBoolean();
    }

    /** Whether each response is the last one on its connection. */
    boolean closesAfterResponse() {
        return isDraining() && (!servesUntilDeadline() || hasEnded());
    }

    /**
     * Whether the request is unlikely to complete before the drain deadline, so that its client had
     * better retry after the restart or at the successor process. A request without an estimate is
     * not known to fit, and is rejected.
     */
    boolean mustReject(ClientRequest message, Idempotency idempotency) {
        boolean checksEstimate =
                servesUntilDeadline() || (isDraining() && hasSuccessor.getAsBoolean());
        if (!checksEstimate || hasEnded()) {
            return false;
        }
        double factor =
                idempotency == Idempotency.IDEMPOTENT
                        ? IDEMPOTENT_ESTIMATE_FACTOR
                        : AT_MOST_ONCE_ESTIMATE_FACTOR;
        double estimate =
                Double.isNaN(message.estimatedWork())
                        ? Double.POSITIVE_INFINITY
                        : message.estimatedWork();
        return loop.now() + factor * estimate + QUEUEING_ALLOWANCE_SECONDS > drainDeadline;
    }

    /**
     * Returns the Retry-After to send, in seconds; 0 for none. Before a restart it ends after the
     * restart, so that clients do not use up their retries while nothing listens.
     *
     * @param policyRetryAfterSeconds what the policy would send
     */
    double retryAfterSeconds(double policyRetryAfterSeconds) {
        if (!servesUntilDeadline() || !settings.sendsRetryAfter()) {
            return policyRetryAfterSeconds;
        }
        return Math.min(
                settings.maxRetryAfterSeconds(), drainDeadline + RESTART_SECONDS - loop.now());
    }
}
