package wheelroute.net.requests;

import java.util.List;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Settings;
import wheelroute.net.history.RequestIdentity;

/**
 * An accepted request that must not run twice, from its acceptance until no attempt is in flight.
 * Has the {@link AtMostOnceRequests} remember its first attempt before it is sent. Used on the
 * event loop's thread only.
 */
final class AtMostOnceRequest {
    /**
     * The time before the end of the window after which nothing is sent, because the process may be
     * held up between the check and the write.
     */
    private static final double SEND_MARGIN_SECONDS = 0.2;

    private final AtMostOnceRequests requests;
    private final Settings.RequestClass requestClass;
    private final RequestIdentity identity;
    private final long hash;

    /** The number of the client's connection. */
    private final int client;

    private final double admittedAt;

    /** The attempt of an earlier request that this one repeats; null for none. */
    private final EarlierAttempt earlier;

    /** Whether an entry of the history is reserved, which has not been needed yet. */
    private boolean holdsReservation;

    /** The attempt in the history; null if this request has added none. */
    private EarlierAttempt remembered;

    AtMostOnceRequest(
            AtMostOnceRequests requests,
            Settings.RequestClass requestClass,
            RequestIdentity identity,
            long hash,
            int client,
            double admittedAt,
            EarlierAttempt earlier) {
        this.requests = requests;
        this.requestClass = requestClass;
        this.identity = identity;
        this.hash = hash;
        this.client = client;
        this.admittedAt = admittedAt;
        this.earlier = earlier;
        holdsReservation = earlier == null;
    }

    RequestIdentity identity() {
        return identity;
    }

    long hash() {
        return hash;
    }

    int client() {
        return client;
    }

    double admittedAt() {
        return admittedAt;
    }

    Settings.RequestClass requestClass() {
        return requestClass;
    }

    boolean holdsReservation() {
        return holdsReservation;
    }

    /** Returns the attempts that may have run of the request that this one repeats. */
    List<EarlierAttempt> earlierAttempts() {
        return earlier == null ? List.of() : List.of(earlier);
    }

    /**
     * Returns whether a rejection, which tells the client that it may retry anywhere, would be
     * true.
     */
    boolean mayBeRejected() {
        return earlier == null || requestClass.isSafeToRetryAnywhere();
    }

    /**
     * Has the first attempt remembered, here and in the other processes, and then runs a task that
     * sends the next one.
     *
     * @param attempts all attempts that may have run, with the one that is about to be sent
     * @param send run at once if no other process has to be told
     * @param sendLater run once the other processes have been sent what they must know
     */
    void beforeSend(List<EarlierAttempt> attempts, Runnable send, Runnable sendLater) {
        if (remember(attempts.get(0)) && requests.hasPeers()) {
            requests.announceAttempt(this, remembered, sendLater);
        } else {
            send.run();
        }
    }

    private static void doNothing() {}

    /** Returns whether the history has changed. */
    private boolean remember(EarlierAttempt first) {
        boolean isKnown = first.equals(earlier) && requests.isRemembered(this);
        if (isKnown || first.equals(remembered)) {
            return false;
        }
        requests.remember(this, first);
        holdsReservation = false;
        remembered = first;
        return true;
    }

    /**
     * Returns the time until which an attempt may be written to a worker.
     *
     * @param attempts all attempts that may have run, with the one that is about to be sent
     */
    double sendBefore(List<EarlierAttempt> attempts) {
        return attempts.size() < 2
                ? Double.POSITIVE_INFINITY
                : attempts.get(0).sentAt()
                        + requestClass.idempotencyWindowSeconds()
                        - SEND_MARGIN_SECONDS;
    }

    /**
     * Ends the request.
     *
     * @param attempts all attempts that may have run, of this request and the one it repeats
     */
    void end(List<EarlierAttempt> attempts) {
        if (holdsReservation) {
            requests.release(this);
            holdsReservation = false;
        } else if (attempts.isEmpty()) {
            requests.forget(this);
        } else if (remember(attempts.get(0))) {
            requests.announceAttempt(this, remembered, AtMostOnceRequest::doNothing);
        }
        requests.onEnded(this);
    }
}
