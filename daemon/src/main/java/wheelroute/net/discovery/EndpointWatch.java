package wheelroute.net.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.metrics.Counters;

/**
 * Keeps the endpoint list up to date by long polling: one call to discovery is always open, and the
 * next is made as soon as it has been answered.
 *
 * <p>{@link DiscoveryCall} makes the calls, {@link DiscoveryCallPolicy} decides when they are made
 * and when they time out, and {@link EndpointList#decode} reads the list. This class keeps what
 * outlasts a call: which version of the list is known, and since when calls have been failing. It
 * does not decide whether the list is too old to be used; see {@link Listener#onConfirmed}.
 *
 * <p>A watch is idle until a delay has passed, or has an open call, or has been stopped. Only for
 * the event loop's thread.
 */
public final class EndpointWatch {
    /** Receives the endpoint list, and what is known about its age. */
    public interface Listener {
        /** Discovery has sent the complete list, or changes to it. */
        void onEndpoints(EndpointList list);

        /**
         * Discovery has answered, so the known list is its current one. Renews {@link
         * wheelroute.decision.endpoints.EndpointLease}, which decides whether the list may be used.
         */
        void onConfirmed();

        /**
         * Discovery is up but has more callers than it can serve, and has not answered this one.
         * From here on the lease can expire, until the next {@link #onConfirmed}.
         */
        void onOverloaded();
    }

    /**
     * How discovery is to be polled.
     *
     * @param seed for the jitter of the calls
     * @param dispatchers the number of dispatchers that call the same discovery
     * @param listIsPushed whether the address is that of this dispatcher's own agent, whose changes
     *     count as known whether or not they were polled; then there is no backoff
     */
    public record WatchOptions(long seed, int dispatchers, boolean listIsPushed) {}

    /** The version of a watch that has no list yet. */
    public static final long NO_VERSION = -1;

    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Counters counters;
    private final Listener listener;
    private final DiscoveryCallPolicy callPolicy;
    private long version;
    private boolean needsCompleteList;

    /** The open call; null while idle or stopped. */
    private DiscoveryCall call;

    private boolean stopped;

    /** When discovery last answered, on the event loop's clock in seconds; for the log. */
    private double lastAnsweredAt;

    private int consecutiveFailures;

    /**
     * Creates a watch that has not been started.
     *
     * @param version the version of the list already known, or {@link #NO_VERSION}
     */
    public EndpointWatch(
            EventLoop loop,
            InetSocketAddress address,
            Counters counters,
            Listener listener,
            long version,
            WatchOptions options) {
        this.loop = loop;
        this.address = address;
        this.counters = counters;
        this.listener = listener;
        this.version = version;
        callPolicy = new DiscoveryCallPolicy(loop, options);
        lastAnsweredAt = loop.now();
        needsCompleteList = version == NO_VERSION;
    }

    /**
     * Starts the watch of a process that starts. If a list is known, the first call is delayed,
     * because a whole fleet may be starting at the same time.
     */
    public void start() {
        openAfter(needsCompleteList ? 0 : callPolicy.delayAtStart());
    }

    /** Starts the watch of a new address, whose complete list is needed soon. */
    public void startUrgently() {
        callPolicy.onNewAddress();
        open();
    }

    /** Stops the watch for good; the listener is not called any more. */
    public void stop() {
        stopped = true;
        if (call != null) {
            dropCall();
        }
    }

    private void openAfter(double delaySeconds) {
        if (delaySeconds > 0) {
            loop.schedule(delaySeconds, this::open);
        } else {
            open();
        }
    }

    /** Opens a call, unless there is one or the watch is stopped. */
    private void open() {
        open(false);
    }

    private void open(boolean answeredBefore) {
        if (call == null && !stopped) {
            call = new DiscoveryCall(this, loop, address, counters, answeredBefore);
            call.open();
        }
    }

    private void dropCall() {
        DiscoveryCall dropped = call;
        call = null;
        dropped.close();
    }

    // ---- for the call

    boolean isCurrent(DiscoveryCall which) {
        return call == which;
    }

    DiscoveryCallPolicy callPolicy() {
        return callPolicy;
    }

    long version() {
        return version;
    }

    boolean needsCompleteList() {
        return needsCompleteList;
    }

    /**
     * Processes a response.
     *
     * @return whether it contained a change
     * @throws IOException if it is not a list, or not the kind of list that was requested
     */
    boolean onResponse(byte[] json) throws IOException {
        boolean hasChanges = applyList(EndpointList.decode(json));
        logRecovery();
        callPolicy.onResponse();
        if (!needsCompleteList) {
            listener.onConfirmed();
        }
        return hasChanges;
    }

    private boolean applyList(EndpointList list) throws DiscoveryResponseException {
        if (!list.complete()) {
            if (needsCompleteList) {
                throw new DiscoveryResponseException("changes instead of the complete list");
            }
            // A version that goes back means that discovery has restarted, and that its changes do
            // not refer to the known list.
            needsCompleteList = list.version() < version;
            if (needsCompleteList) {
                return true;
            }
        }
        version = list.version();
        needsCompleteList = false;
        callPolicy.onList();
        listener.onEndpoints(list);
        return list.complete() || !list.entries().isEmpty();
    }

    private void logRecovery() {
        if (consecutiveFailures > 0) {
            LOG.info(
                    "endpoint watch recovered: list version {} confirmed after {} s and {} failed calls",
                    version,
                    secondsSinceLastAnswer(),
                    consecutiveFailures);
        }
        lastAnsweredAt = loop.now();
        consecutiveFailures = 0;
    }

    private String secondsSinceLastAnswer() {
        return String.format(Locale.ROOT, "%.3f", loop.now() - lastAnsweredAt);
    }

    /**
     * Opens a new connection for the next call, without counting the end of the old as a failure.
     */
    void reconnect() {
        dropCall();
        open(true);
    }

    /**
     * Ends a failed call and opens the next one after the delay that the policy decides on. Ignores
     * a call that is not the open one.
     *
     * @param reason for the log
     */
    void onFailure(DiscoveryCall failed, CallFailure.Kind kind, String reason) {
        if (!isCurrent(failed)) {
            return;
        }
        consecutiveFailures++;
        LOG.info(
                "endpoint watch failed: {} ({}); list version {} unconfirmed for {} s, {} consecutive failures",
                reason,
                failed.progress(),
                version,
                secondsSinceLastAnswer(),
                consecutiveFailures);
        counters.count(Counters.Counter.DISCOVERY_FAILURES);
        CallFailure failure = failed.failure(kind);
        recordFailure(failure);
        dropCall();
        openAfter(callPolicy.delayAfterFailure(failure));
    }

    private void recordFailure(CallFailure failure) {
        boolean wasOverloaded = callPolicy.isOverloaded();
        callPolicy.onFailure(failure);
        if (callPolicy.isOverloaded()) {
            listener.onOverloaded();
            if (!wasOverloaded) {
                LOG.warn("discovery overloaded: polling less often, endpoint list may expire");
            }
        }
    }
}
