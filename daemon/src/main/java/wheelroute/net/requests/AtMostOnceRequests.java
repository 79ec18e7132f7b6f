package wheelroute.net.requests;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Settings;
import wheelroute.net.clients.BadRequestException;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.handover.Handover;
import wheelroute.net.history.AttemptHistory;
import wheelroute.net.history.AttemptHistoryTransfer;
import wheelroute.net.history.RequestIdentity;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;

/**
 * Recognizes requests that repeat another one, so that they have no second effect. A request with
 * an idempotency key is identified by its class and key, because each retry of a client has a new
 * id; one of a non-idempotent class by its class and id. The {@link AttemptHistory} knows the first
 * attempt of each that may have run; the other processes of the dispatcher are told of it before it
 * is sent.
 *
 * <p>Used on the event loop's thread only.
 */
final class AtMostOnceRequests {
    private static final Logger LOG = LoggerFactory.getLogger(AtMostOnceRequests.class);

    /** The shortest time between two log lines about the same matter. */
    private static final double LOG_INTERVAL_SECONDS = 1;

    private final EventLoop loop;
    private final Counters counters;
    private final AttemptHistory history;
    private final AttemptHistoryTransfer historyTransfer;
    private final boolean mayHedge;
    private final double maxTimeoutSeconds;
    private final Map<String, Settings.RequestClass> requestClasses = new HashMap<>();

    /** The open requests by their hashes; of two with the same hash the later one. */
    private final Map<Long, Exchange> open = new HashMap<>();

    /** The handover to the other processes; null if no process can take over from this one. */
    private Handover handover;

    private double nextRepeatLogAt;
    private double nextFullLogAt;

    AtMostOnceRequests(
            EventLoop loop,
            Counters counters,
            Settings settings,
            double maxTimeoutSeconds,
            AttemptHistory history) {
        this.loop = loop;
        this.counters = counters;
        this.history = history;
        historyTransfer = new AttemptHistoryTransfer(history);
        this.maxTimeoutSeconds = maxTimeoutSeconds;
        mayHedge = settings.mayHedge();
        for (Settings.RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.id().name(), requestClass);
        }
    }

    void setHandover(Handover newHandover) {
        handover = newHandover;
    }

    /**
     * Returns the time for which a request is remembered, from its first attempt: as long as it, or
     * a repeat that workers recognize, may be in flight, and then as long as a client may wait.
     */
    static double retentionSeconds(Settings.RequestClass requestClass, double maxTimeoutSeconds) {
        double windowSeconds =
                requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        ? requestClass.idempotencyWindowSeconds()
                        : 0;
        return Math.max(windowSeconds, maxTimeoutSeconds) + maxTimeoutSeconds;
    }

    private double retentionSeconds(Settings.RequestClass requestClass) {
        return retentionSeconds(requestClass, maxTimeoutSeconds);
    }

    /**
     * Admits a request that must not run twice.
     *
     * @param client the number of the client's connection
     * @return null if there is no memory to remember it
     * @throws BadRequestException if it repeats a request that is open
     */
    AtMostOnceRequest admit(ClientRequest message, Settings.RequestClass requestClass, int client)
            throws BadRequestException {
        if (hasPeers()) {
            // What another process has sent of the first request must be known by now.
            handover.readAvailable();
        }
        double now = loop.now();
        RequestIdentity identity = identityOf(message, requestClass);
        long hash = history.hash(identity);
        checkNotOpen(identity, hash);
        EarlierAttempt earlier = history.find(hash, retentionSeconds(requestClass), now);
        if (earlier != null) {
            onRepeat(message, earlier, now);
        } else if (!history.reserve(client, retentionSeconds(requestClass), now)) {
            onFull(now);
            return null;
        }
        return new AtMostOnceRequest(this, requestClass, identity, hash, client, now, earlier);
    }

    private static RequestIdentity identityOf(
            ClientRequest message, Settings.RequestClass requestClass) {
        boolean hasKey = requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY;
        return new RequestIdentity(
                requestClass.id().name(), hasKey ? message.idempotencyKey() : message.id());
    }

    /**
     * Rejects the repeat of a request whose client still waits for the response, or whose attempts
     * a further one would overlap although hedging is forbidden.
     */
    private void checkNotOpen(RequestIdentity identity, long hash) throws BadRequestException {
        Exchange first = open.get(hash);
        if (first != null) {
            first.detectClientGone();
            first = open.get(hash);
        }
        boolean isOpenHere = first != null && (!mayHedge || first.isAwaited());
        if (isOpenHere || (hasPeers() && handover.isKeyOpenElsewhere(encode(identity)))) {
            counters.count(Counters.Counter.REPEATS_OF_OPEN_REQUESTS);
            throw new BadRequestException(
                    HttpStatus.CONFLICT_409, "a submission with this key is open");
        }
    }

    private void onRepeat(ClientRequest message, EarlierAttempt earlier, double now) {
        counters.count(Counters.Counter.REPEATS);
        if (now >= nextRepeatLogAt) {
            nextRepeatLogAt = now + LOG_INTERVAL_SECONDS;
            LOG.info(
                    "request {} of class {} repeats one sent {} s ago to {} {}",
                    message.id(),
                    message.requestClass(),
                    Math.round(now - earlier.sentAt()),
                    earlier.zone(),
                    earlier.cell());
        }
    }

    private void onFull(double now) {
        counters.count(Counters.Counter.ATTEMPT_HISTORY_REJECTIONS);
        if (now >= nextFullLogAt) {
            nextFullLogAt = now + LOG_INTERVAL_SECONDS;
            LOG.warn(
                    "attempt history full, rejecting requests that must not run twice:"
                            + " {} of {} entries",
                    history.size(),
                    history.capacity());
        }
    }

    /** Records that an admitted request is open. */
    void onOpened(AtMostOnceRequest request, Exchange exchange) {
        open.put(request.hash(), exchange);
        if (hasPeers()) {
            handover.onKeyOpened(encode(request.identity()));
        }
    }

    /** Records that a request is not open any more; does nothing if a repeat of it is open. */
    void onEnded(AtMostOnceRequest request) {
        if (isLatest(request)) {
            open.remove(request.hash());
            if (hasPeers()) {
                handover.onKeyClosed(encode(request.identity()));
            }
        }
    }

    private boolean isLatest(AtMostOnceRequest request) {
        Exchange latest = open.get(request.hash());
        return latest != null && latest.isFor(request);
    }

    /** Returns the keys of all open requests, encoded for the other processes. */
    List<String> encodeOpenKeys() {
        return open.values().stream().map(exchange -> encode(exchange.identity())).toList();
    }

    private String encode(RequestIdentity identity) {
        return new AttemptAnnouncement(identity, null).encode(loop.now());
    }

    boolean isRemembered(AtMostOnceRequest request) {
        double retentionSeconds = retentionSeconds(request.requestClass());
        return history.find(request.hash(), retentionSeconds, loop.now()) != null;
    }

    /** Remembers the first attempt of a request, in place of another one if there is one. */
    void remember(AtMostOnceRequest request, EarlierAttempt first) {
        double retentionSeconds = retentionSeconds(request.requestClass());
        if (request.holdsReservation()) {
            history.add(request.hash(), first, retentionSeconds, loop.now());
        } else {
            history.put(request.hash(), first, retentionSeconds, loop.now());
        }
    }

    /**
     * Tells the other processes of an attempt, and then runs a task once they have been sent the
     * message.
     */
    void announceAttempt(AtMostOnceRequest request, EarlierAttempt attempt, Runnable sent) {
        if (hasPeers()) {
            AttemptAnnouncement announcement = new AttemptAnnouncement(request.identity(), attempt);
            handover.onAttemptStarting(announcement.encode(loop.now()), sent);
        }
    }

    /** Whether there are other processes of this dispatcher. */
    boolean hasPeers() {
        return handover != null && handover.hasPeers();
    }

    /** Returns the reservation of a request that was never sent. */
    void release(AtMostOnceRequest request) {
        history.release(
                request.client(),
                retentionSeconds(request.requestClass()),
                request.admittedAt(),
                loop.now());
    }

    /** Forgets a request of which no attempt has run, unless a repeat of it is open. */
    void forget(AtMostOnceRequest request) {
        if (isLatest(request)) {
            history.remove(request.hash());
            history.forgetShare(
                    request.client(),
                    retentionSeconds(request.requestClass()),
                    request.admittedAt(),
                    loop.now());
            if (hasPeers()) {
                handover.onNeverRan(encode(request.identity()));
            }
        }
    }

    /**
     * Imports an attempt that another process is about to send.
     *
     * @throws IOException if the text is malformed
     */
    void importAttempt(String text) throws IOException {
        AttemptAnnouncement announcement = AttemptAnnouncement.decode(text, loop.now());
        Settings.RequestClass requestClass =
                requestClasses.get(announcement.identity().requestClass());
        if (requestClass == null || announcement.attempt() == null) {
            throw new IOException("the announcement has no attempt of a known request class");
        }
        long hash = history.hash(announcement.identity());
        EarlierAttempt attempt = announcement.attempt();
        Exchange exchange = open.get(hash);
        if (exchange == null) {
            // It replaces one that the other process has announced before, and that never ran.
            history.put(hash, attempt, retentionSeconds(requestClass), loop.now());
        } else {
            history.merge(hash, attempt, retentionSeconds(requestClass), loop.now());
            exchange.onEarlierAttempt(attempt);
        }
    }

    /**
     * Forgets a request of another process of which no attempt has run.
     *
     * @throws IOException if the text is malformed
     */
    void importNeverRan(String text) throws IOException {
        long hash = history.hash(AttemptAnnouncement.decode(text, loop.now()).identity());
        if (!open.containsKey(hash)) {
            history.remove(hash);
        }
    }

    /** Returns the transfer of the history between processes. */
    AttemptHistoryTransfer historyTransfer() {
        return historyTransfer;
    }

    /** Returns the number of requests that are remembered. */
    int rememberedRequests() {
        return history.size();
    }
}
