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
 * next is made as soon as it has been answered. A call that gets no response in time stays open
 * beside the next one, see {@link LateCalls}; the first response of any call proves that the list
 * is current.
 *
 * <p>{@link DiscoveryCall} makes the calls, {@link DiscoveryCallPolicy} decides when they are made
 * and when they time out, and {@link EndpointList#decode} reads the list. This class keeps the
 * state that outlasts a call: the version of the known list, and the time since which calls have
 * been failing. Whether the list is too old to be used is not decided here; see {@link
 * Listener#onConfirmed}.
 *
 * <p>A watch that has been started either waits for a delay to pass, or has an open call, or has
 * been stopped. The watch of a former address is retired: it makes no more calls, but the responses
 * to those that it has made are used until the watch of the new address has one, see {@link
 * #startInPlaceOf}. Confined to the event loop's thread.
 */
public final class EndpointWatch {
    /** Receives the endpoint list, and events that concern the age of the list. */
    public interface Listener {
        /** Called when discovery has sent the complete list, or changes to it. */
        void onEndpoints(EndpointList list);

        /**
         * Called when discovery has answered, so that the known list is the current one. Renews
         * {@link wheelroute.decision.endpoints.EndpointLease}, which decides whether the list may
         * be used.
         */
        void onConfirmed();

        /**
         * Called when discovery is up but has more callers than it can serve, and has not answered
         * this dispatcher. From this call until the next {@link #onConfirmed} the lease can expire.
         */
        void onOverloaded();
    }

    /**
     * Options that determine how discovery is polled.
     *
     * @param seed the seed of the jitter of the calls
     * @param dispatchers the number of dispatchers that call the same discovery
     * @param listIsPushed whether the address is that of this dispatcher's own agent. Changes then
     *     count as known whether or not they have been polled, so calls are retried without backoff
     */
    public record WatchOptions(long seed, int dispatchers, boolean listIsPushed) {}

    /** The list version of a watch that has no list yet. */
    public static final long NO_VERSION = -1;

    /**
     * How long the responses of a former address are used: until the list of the new address counts
     * as known.
     */
    private static final double MAX_RETIREMENT_SECONDS =
            DiscoveryCallPolicy.NEW_ADDRESS_CATCH_UP_SECONDS;

    /** Maximum number of retired watches, which limits the connections after many reloads. */
    private static final int MAX_RETIRED_WATCHES = 4;

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

    private final LateCalls lateCalls = new LateCalls();
    private boolean stopped;

    /** Whether discovery has another address now, so that this watch makes no more calls. */
    private boolean retired;

    /** The retired watch of the previous address; null if its responses are not used any more. */
    private EndpointWatch predecessor;

    /**
     * The time of the last response, on the event loop's clock in seconds. Only used in log lines.
     */
    private double lastAnsweredAt;

    private int consecutiveFailures;

    /**
     * Creates a watch that is not started yet.
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
     * Starts the watch when the process starts. If a list is known, the first call is delayed,
     * because a whole fleet may be starting at the same time.
     */
    public void start() {
        openAfter(needsCompleteList ? 0 : callPolicy.delayAtStart());
    }

    /**
     * Starts the watch after discovery's address has changed: calls at once, because the complete
     * list of the new address is needed soon. The previous watch is retired. If its responses were
     * not used, no list would be received for as long as the address changes more often than
     * discovery answers.
     */
    public void startInPlaceOf(EndpointWatch previous) {
        previous.retire();
        if (previous.predecessorCount() < MAX_RETIRED_WATCHES) {
            predecessor = previous;
        } else {
            // The oldest calls are kept, because they are the next to be answered.
            predecessor = previous.predecessor;
            previous.predecessor = null;
            previous.stop();
        }
        loop.schedule(MAX_RETIREMENT_SECONDS, this::stopPredecessor);
        callPolicy.onNewAddress();
        open();
    }

    private void retire() {
        retired = true;
    }

    private int predecessorCount() {
        return predecessor == null ? 0 : 1 + predecessor.predecessorCount();
    }

    private void stopPredecessor() {
        if (predecessor != null) {
            predecessor.stop();
            predecessor = null;
        }
    }

    /** Stops the watch permanently. The listener is not called any more. */
    public void stop() {
        stopped = true;
        stopPredecessor();
        if (call != null) {
            dropCall();
        }
        lateCalls.closeAll();
    }

    private void openAfter(double delaySeconds) {
        if (delaySeconds > 0) {
            loop.schedule(delaySeconds, this::open);
        } else {
            open();
        }
    }

    /** Opens a call, unless one is open already or the watch has been stopped. */
    private void open() {
        open(false);
    }

    private void open(boolean answeredBefore) {
        if (call == null && !stopped && !retired) {
            call = new DiscoveryCall(this, loop, address, counters, answeredBefore);
            call.open();
        }
    }

    private void dropCall() {
        DiscoveryCall dropped = call;
        call = null;
        dropped.close();
    }

    /** Returns whether this is the open call, rather than one that is late or has been closed. */
    boolean isCurrent(DiscoveryCall candidate) {
        return call == candidate;
    }

    /** Returns whether this call may be followed by another one on its connection. */
    boolean mayContinue(DiscoveryCall candidate) {
        return isCurrent(candidate) && !retired;
    }

    /** Returns whether a response of this call is still of use, even if the call is late. */
    boolean awaitsResponse(DiscoveryCall candidate) {
        return isCurrent(candidate) || lateCalls.contains(candidate);
    }

    /** Makes the call that was answered the open one, and closes all others. */
    private void continueWith(DiscoveryCall answered) {
        if (!isCurrent(answered)) {
            if (call != null) {
                dropCall();
            }
            lateCalls.remove(answered);
            call = answered;
        }
        lateCalls.closeAll();
    }

    DiscoveryCallPolicy callPolicy() {
        return callPolicy;
    }

    long version() {
        return version;
    }

    /** Returns whether the next call must request the complete list instead of changes. */
    boolean needsCompleteList() {
        return needsCompleteList;
    }

    /**
     * Processes the body of a response, after which the call that was answered is the open one.
     *
     * @return whether it contained a change
     * @throws IOException if the body is not a list, or has changes where the complete list was
     *     requested
     */
    boolean onResponse(DiscoveryCall answered, byte[] json) throws IOException {
        boolean hasChanges = applyList(EndpointList.decode(json));
        stopPredecessor();
        continueWith(answered);
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
                throw new DiscoveryResponseException(
                        "endpoint list has only changes, the complete list was requested");
            }
            // A lower version means that discovery has restarted, so that its changes do not refer
            // to the known list.
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
     * Replaces the connection for the next call. The end of the old connection does not count as a
     * failure.
     */
    void reconnect() {
        dropCall();
        open(true);
    }

    /**
     * Ends a failed call and opens the next one after the delay that the call policy returns. A
     * call without a response stays open as a late one. The failure of a late call only closes it,
     * and that of any other call is ignored.
     *
     * @param reason text for the log line
     */
    void onFailure(DiscoveryCall failed, CallFailure.Kind kind, String reason) {
        if (lateCalls.contains(failed)) {
            lateCalls.remove(failed);
            failed.close();
        }
        if (!isCurrent(failed)) {
            return;
        }
        if (retired) {
            end(failed, kind);
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
        end(failed, kind);
        openAfter(callPolicy.delayAfterFailure(failure));
    }

    /** Ends the open call, which has failed, but waits on for a response that may only be late. */
    private void end(DiscoveryCall failed, CallFailure.Kind kind) {
        if (failed.mayBeAnsweredLate(kind) && lateCalls.accepts(failed)) {
            failed.restartTimeout(callPolicy.lateResponseTimeout());
            lateCalls.add(failed);
            call = null;
        } else {
            dropCall();
        }
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
