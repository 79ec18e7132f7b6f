package wheelroute.net.requests;

import java.util.function.BooleanSupplier;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Settings;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.loop.EventLoop;

/**
 * What a graceful shutdown means for admission: which requests are still taken, which connections
 * are kept open, and which Retry-After a rejected client gets. Only for the event loop's thread.
 */
public final class DrainAdmission {
    /**
     * While draining, a request is admitted if this multiple of its estimated work still fits in.
     * Estimates are off by a factor of two either way, and an idempotent request that is rejected
     * in the end has lost nothing by the try.
     */
    private static final double IDEMPOTENT_ESTIMATE_FACTOR = 0.6;

    private static final double AT_MOST_ONCE_ESTIMATE_FACTOR = 1.5;

    /** Allowance for queueing and the network, in seconds. */
    private static final double QUEUEING_ALLOWANCE = 0.1;

    /**
     * Seconds from the drain's end until a restarted dispatcher serves, the platform's included.
     */
    private static final double RESTART_TIME = 2;

    /** Only moves forward: {@link #begin} leads from SERVING, {@link #end} to ENDED. */
    private enum State {
        SERVING,
        DRAINING,
        /** The time is up: nothing new is sent to workers. */
        ENDED
    }

    private final EventLoop loop;
    private final Settings settings;
    private final BooleanSupplier hasSuccessor;
    private State state = State.SERVING;
    private double drainEnd;

    /**
     * Begins in the state in which everything is admitted.
     *
     * @param hasSuccessor whether another process accepts clients in this one's place
     */
    public DrainAdmission(EventLoop loop, Settings settings, BooleanSupplier hasSuccessor) {
        this.loop = loop;
        this.settings = settings;
        this.hasSuccessor = hasSuccessor;
    }

    /**
     * Starts to drain.
     *
     * @param end Unix time in seconds at which requests in flight are given up
     */
    public void begin(double end) {
        if (state == State.SERVING) {
            state = State.DRAINING;
        }
        drainEnd = end;
    }

    /** Ends admission for good: the process is about to exit. */
    public void end() {
        state = State.ENDED;
    }

    /** Whether a graceful shutdown has begun. */
    public boolean isDraining() {
        return state != State.SERVING;
    }

    /** Whether admission has ended for good. */
    public boolean hasEnded() {
        return state == State.ENDED;
    }

    /**
     * Where there are other dispatchers, clients are sent to them. A single one serves until its
     * end: a client that loses its connection finds nobody else until the restart.
     */
    private boolean servesUntilEnd() {
        return isDraining() && settings.dispatchers() <= 1 && !hasSuccessor.getAsBoolean();
    }

    /** Whether a response is the last one on its connection. */
    public boolean closesAfterResponse() {
        return isDraining() && (!servesUntilEnd() || hasEnded());
    }

    /**
     * Whether the client had better retry after the restart, or at the successor process: the
     * estimate is rough and there may be a queue, but the request is unlikely to complete here.
     */
    public boolean mustReject(ClientRequest message, Idempotency idempotency) {
        boolean admitsByEstimate =
                servesUntilEnd() || (isDraining() && hasSuccessor.getAsBoolean());
        if (!admitsByEstimate || hasEnded()) {
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
        return loop.now() + factor * estimate + QUEUEING_ALLOWANCE > drainEnd;
    }

    /**
     * The Retry-After to send, in seconds; 0 for none. Before a restart it points past the restart,
     * so that clients do not use up their retries while nobody listens.
     */
    public double retryAfter(double policyRetryAfter) {
        if (!servesUntilEnd() || !settings.sendsRetryAfter()) {
            return policyRetryAfter;
        }
        return Math.min(settings.maxRetryAfterSeconds(), drainEnd + RESTART_TIME - loop.now());
    }
}
