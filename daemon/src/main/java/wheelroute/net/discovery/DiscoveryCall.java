package wheelroute.net.discovery;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.config.SocketAddresses;
import wheelroute.net.http.HttpMessageBuilder;
import wheelroute.net.http.ResponseParser;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;
import wheelroute.net.metrics.Counters;

/**
 * A connection to discovery and the calls that are made on it one after another. Confined to the
 * event loop's thread.
 */
final class DiscoveryCall implements EventLoop.ChannelHandler, ResponseParser.Handler {
    private final EndpointWatch watch;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Counters counters;
    private final ResponseParser parser = new ResponseParser(this, Set.of());
    private final ListResponseBody body = new ListResponseBody();
    private final CallProgress progress;

    /** The end point of the connection; null until the connection is established. */
    private EndPoint endPoint;

    /** The timeout of the open call; null before {@link #open}. */
    private EventLoop.Timer timeout;

    /** Whether discovery has answered a call on this connection with an error status. */
    private boolean rejected;

    /** Whether the watch has had a response since its last failure. */
    private boolean answeredBefore;

    /**
     * The time at which the response must be complete, on the event loop's clock in seconds. Only
     * set while a response is being read.
     */
    private double responseDeadline;

    /**
     * Creates a connection that is not opened yet.
     *
     * @param answeredBefore whether the watch has had a response on an earlier connection since its
     *     last failure
     */
    DiscoveryCall(
            EndpointWatch watch,
            EventLoop loop,
            InetSocketAddress address,
            Counters counters,
            boolean answeredBefore) {
        this.watch = watch;
        this.loop = loop;
        this.address = address;
        this.counters = counters;
        this.answeredBefore = answeredBefore;
        progress = new CallProgress(loop);
    }

    /** Connects to discovery, and makes the first call once connected. */
    void open() {
        loop.connect(address, this);
        restartTimeout(watch.callPolicy().callTimeout());
    }

    /** Closes the connection. The watch is not notified of any further events. */
    void close() {
        timeout.cancel();
        if (endPoint != null) {
            endPoint.close();
        }
    }

    /** Returns the failure of the open call, as the call policy needs it. */
    CallFailure failure(CallFailure.Kind kind) {
        return new CallFailure(
                kind,
                progress.isConnected(),
                progress.isHeld(),
                rejected,
                answeredBefore,
                progress.durationSeconds());
    }

    /** Returns whether a call that failed in this way may only be late. */
    boolean mayBeAnsweredLate(CallFailure.Kind kind) {
        return kind == CallFailure.Kind.NO_RESPONSE && progress.isConnected();
    }

    /** Returns whether a part of the response has arrived. */
    boolean isReadingResponse() {
        return progress.isReading();
    }

    CallProgress progress() {
        return progress;
    }

    /** Makes the call time out after this time from now, instead of when it would have. */
    void restartTimeout(double seconds) {
        cancelTimeout();
        timeout =
                loop.schedule(
                        seconds,
                        () -> watch.onFailure(this, CallFailure.Kind.NO_RESPONSE, "no response"));
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }

    @Override
    public Connection onOpened(EndPoint opened) {
        endPoint = opened;
        return new CallConnection(opened);
    }

    @Override
    public void onFailed(Throwable cause) {
        watch.onFailure(this, CallFailure.Kind.CALL_FAILED, "connection failed: " + cause);
    }

    private void sendRequest() {
        if (!watch.isCurrent(this)) {
            close();
            return;
        }
        counters.count(Counters.Counter.DISCOVERY_CALLS);
        DiscoveryCallPolicy policy = watch.callPolicy();
        int holdMillis = watch.needsCompleteList() ? 0 : policy.nextHoldMillis();
        double holdSeconds = holdMillis / MILLIS_PER_SECOND;
        progress.onRequest(holdSeconds);
        restartTimeout(
                progress.isHeld()
                        ? policy.heldCallTimeout(holdSeconds)
                        : progress.secondsLeft(policy.callTimeout()));
        endPoint.write(
                Callback.from(() -> {}, cause -> loop.post(() -> onFailed(cause))),
                new HttpMessageBuilder("GET " + target(holdMillis) + " HTTP/1.1")
                        .field("Host", SocketAddresses.format(address))
                        .noBody());
    }

    private String target(int holdMillis) {
        return "/v1/servers"
                + (watch.needsCompleteList()
                        ? ""
                        : "?from=" + watch.version() + "&hold_ms=" + holdMillis);
    }

    /**
     * Restarts the timeout for a response that has begun. Further parts must keep arriving, and the
     * response must be complete by its deadline. A late call keeps its timeout.
     */
    private void onResponseBytes() {
        DiscoveryCallPolicy policy = watch.callPolicy();
        if (progress.onResponseBytes()) {
            responseDeadline = policy.responseDeadline();
        }
        if (watch.isCurrent(this)) {
            restartTimeout(policy.nextPartTimeout(responseDeadline));
        }
    }

    @Override
    public void onHeaders(int status, Map<String, String> fields)
            throws DiscoveryResponseException {
        body.reset();
        if (status != HttpStatus.OK_200) {
            counters.count(Counters.Counter.DISCOVERY_REJECTIONS);
            rejected = true;
            throw new DiscoveryResponseException("response status " + status + " instead of 200");
        }
    }

    @Override
    public void onContent(ByteBuffer bytes) throws DiscoveryResponseException {
        body.append(bytes);
    }

    @Override
    public void onComplete(boolean keepsOpen) throws IOException {
        boolean hasChanges = watch.onResponse(this, body.toByteArray());
        answeredBefore = true;
        DiscoveryCallPolicy policy = watch.callPolicy();
        policy.onResponseGap(progress.longestGapSeconds());
        if (!hasChanges || !progress.isHeld()) {
            policy.onQueueWait(progress.durationSeconds() - progress.holdSeconds());
        }
        double delay = policy.delayAfterResponse(hasChanges, progress.durationSeconds());
        if (delay > 0) {
            cancelTimeout();
            loop.schedule(delay, () -> callAgain(keepsOpen));
        } else {
            callAgain(keepsOpen);
        }
    }

    private void callAgain(boolean keepsOpen) {
        if (!watch.mayContinue(this)) {
            close();
            return;
        }
        if (keepsOpen) {
            sendRequest();
        } else {
            watch.reconnect();
        }
    }

    /** Receives the events of the connection from the event loop. */
    private final class CallConnection extends StreamConnection {
        CallConnection(EndPoint endPoint) {
            super(endPoint, DiscoveryCall.this.loop);
        }

        @Override
        public void onOpen() {
            super.onOpen();
            sendRequest();
        }

        @Override
        protected boolean canRead() {
            return watch.awaitsResponse(DiscoveryCall.this);
        }

        @Override
        protected void onBytes(ByteBuffer in) throws IOException {
            onResponseBytes();
            parser.parse(in);
        }

        @Override
        protected void onEndOfStream() {
            String reason = "the connection ended";
            try {
                parser.parseEndOfStream();
            } catch (IOException e) {
                reason = e.getMessage();
            }
            watch.onFailure(DiscoveryCall.this, CallFailure.Kind.CONNECTION_LOST, reason);
        }

        @Override
        protected void onFailure(Throwable cause) {
            String reason =
                    cause instanceof DiscoveryResponseException
                            ? cause.getMessage()
                            : cause.toString();
            watch.onFailure(DiscoveryCall.this, CallFailure.Kind.CALL_FAILED, reason);
        }
    }
}
