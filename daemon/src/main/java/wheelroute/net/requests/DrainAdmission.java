package wheelroute.net.requests;

import java.util.function.BooleanSupplier;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Settings;
import wheelroute.decision.admission.Admission;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * Admission during a graceful shutdown. Decides which requests are still accepted, whether client
 * connections are kept open, and which Retry-After is sent to rejected clients.
 *
 * <p>A request that was read completely passes three independent checks. {@link
 * RequestDispatcher#accept} checks whether the message is valid. This class, which only knows when
 * the process ends, checks whether the request can complete before the end. {@link Admission},
 * which is part of the policy and has no knowledge of the process, checks whether the wait at the
 * workers is acceptable.
 *
 * <p>Used on the event loop's thread only.
 */
final class DrainAdmission {
    /**
     * While draining, an idempotent request is admitted if this multiple of its estimated work fits
     * into the time left. Estimates are off by up to a factor of two in either direction, but an
     * idempotent request may be tried nevertheless, because its client can repeat it elsewhere.
     */
    private static final double IDEMPOTENT_ESTIMATE_FACTOR = 0.6;

    /** The corresponding multiple for requests that must not run twice. */
    private static final double AT_MOST_ONCE_ESTIMATE_FACTOR = 1.5;

    /** Time added to the estimated work of a request for queueing and the network. */
    private static final double QUEUEING_ALLOWANCE_SECONDS = 0.1;

    /** Expected time from the drain deadline until the restarted dispatcher accepts clients. */
    private static final double RESTART_SECONDS = 2;

    /** The phases of a shutdown. {@link #begin} leaves SERVING, and {@link #end} enters ENDED. */
    private enum State {
        /** There is no shutdown, and all requests are admitted. */
        SERVING,
        /**
         * The process drains. If there is no other dispatcher, or if a successor process accepts
         * clients, requests that do not fit into the time left are rejected. Otherwise all requests
         * are still admitted.
         */
        DRAINING,
        /** The drain has ended. Requests are admitted, but no attempt is sent any more. */
        ENDED
    }

    private final EventLoop loop;
    private final Settings settings;
    private final BooleanSupplier hasSuccessor;
    private State state = State.SERVING;

    /** The deadline on the event loop's clock, in seconds; not set before {@link #begin}. */
    private double drainDeadline;

    /**
     * Creates an admission that admits all requests until {@link #begin} is called.
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
     * @param deadline the time at which open requests are ended, on the event loop's clock in
     *     seconds
     */
    void begin(double deadline) {
        if (state == State.SERVING) {
            state = State.DRAINING;
        }
        drainDeadline = deadline;
    }

    /** Ends the drain for good, because the process is about to exit. */
    void end() {
        state = State.ENDED;
    }

    /** Whether a graceful shutdown has begun, even if the drain has ended. */
    boolean isDraining() {
        return state != State.SERVING;
    }

    /** Whether the drain has ended, so that no attempt is sent any more. */
    boolean hasEnded() {
        return state == State.ENDED;
    }

    /**
     * Whether clients are served on their connections until the drain ends. A draining dispatcher
     * closes its connections so that clients connect to another dispatcher or to the successor
     * process. If neither exists, clients could not connect to anything until the restart.
     */
    private boolean servesUntilDeadline() {
        return isDraining() && settings.dispatchers() <= 1 && !hasSuccessor.getAsBoolean();
    }

    /** Whether each response is now the last one on its connection. */
    boolean closesAfterResponse() {
        return isDraining() && (!servesUntilDeadline() || hasEnded());
    }

    /**
     * Whether the request must be rejected because it is unlikely to complete before the drain
     * deadline. Its client should rather retry after the restart or at the successor process. A
     * request without an estimate is rejected too, as it is not known to fit.
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
     * Returns the Retry-After to send, in seconds, or 0 for none. Before a restart, the delay lasts
     * until after the restart, so that clients do not use up their retries while nothing listens.
     *
     * @param policyRetryAfterSeconds the delay that the policy would send; 0 for none
     */
    double retryAfterSeconds(double policyRetryAfterSeconds) {
        if (!servesUntilDeadline() || !settings.sendsRetryAfter()) {
            return policyRetryAfterSeconds;
        }
        return Math.min(
                settings.maxRetryAfterSeconds(), drainDeadline + RESTART_SECONDS - loop.now());
    }
}
