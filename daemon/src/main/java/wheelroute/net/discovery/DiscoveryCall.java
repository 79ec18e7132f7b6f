package wheelroute.net.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import wheelroute.config.ConfigReader;
import wheelroute.net.http.HttpMessageBuilder;
import wheelroute.net.http.ResponseParser;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.loop.StreamConnection;
import wheelroute.net.metrics.Counters;

/** One connection to discovery, and the calls that are made on it, one after the other. */
final class DiscoveryCall implements EventLoop.ChannelHandler, ResponseParser.Reader {
    /** Seconds for a response that has begun to be complete, as long as it makes progress. */
    private static final double COMPLETE_RESPONSE_TIMEOUT = 3;

    /** Seconds after an early response without news: half of what may pass between two calls. */
    private static final double EARLY_RESPONSE_DELAY = 0.1;

    /** A response after less than this fraction of the hold is early. */
    private static final double EARLY_HOLD_FRACTION = 0.5;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final EndpointWatch watch;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Counters counters;
    private final ResponseParser parser = new ResponseParser(this);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Null until the connection is made. */
    private EndPoint endPoint;

    /** Unix time in seconds at which the call now open began, the first with its connect. */
    private double calledAt;

    private boolean called;

    /** How long discovery may hold the call now open, in seconds. */
    private double hold;

    private Phase phase = Phase.CONNECTING;

    /** Discovery has answered with an error status. */
    private boolean rejected;

    private boolean answeredBefore;

    /** Unix time by which the response that has begun has to be complete; NaN before it begins. */
    private double completeBy = Double.NaN;

    /** How far the call now open has come. */
    enum Phase {
        CONNECTING("while connecting"),
        WAITING("while waiting for the response"),
        READING("while reading the response");

        private final String text;

        Phase(String text) {
            this.text = text;
        }
    }

    DiscoveryCall(
            EndpointWatch watch, EventLoop loop, InetSocketAddress address, Counters counters) {
        this.watch = watch;
        this.loop = loop;
        this.address = address;
        this.counters = counters;
        calledAt = loop.now();
    }

    /** Seconds since the call now open began. */
    double duration() {
        return loop.now() - calledAt;
    }

    /** How far the call has come, and how long it has taken, for the log. */
    String progress() {
        return String.format(
                Locale.ROOT,
                "%s, %.3f s after call start, hold time %.1f s",
                phase.text,
                duration(),
                hold);
    }

    boolean isConnected() {
        return phase != Phase.CONNECTING;
    }

    /** Whether discovery has answered with an error status. */
    boolean isRejected() {
        return rejected;
    }

    /** Whether discovery may hold the call now open. */
    boolean hasHold() {
        return hold != 0;
    }

    /** Whether this watch has had a response since its last failure, on whichever connection. */
    boolean hasAnsweredBefore() {
        return answeredBefore;
    }

    void setAnsweredBefore() {
        answeredBefore = true;
    }

    void close() {
        if (endPoint != null) {
            endPoint.close();
        }
    }

    @Override
    public Connection onOpened(EndPoint opened) {
        endPoint = opened;
        return new CallConnection(opened);
    }

    @Override
    public void onFailed(Throwable cause) {
        watch.onFailure(this, "no connection");
    }

    // ---- the request

    private void call() {
        if (!watch.isCurrent(this)) {
            close();
            return;
        }
        counters.count(Counters.Counter.DISCOVERY_CALLS);
        calledAt = called ? loop.now() : calledAt;
        called = true;
        phase = Phase.WAITING;
        completeBy = Double.NaN;
        WatchTiming timing = watch.timing();
        int holdMillis = watch.wantsCompleteList() ? 0 : timing.nextHoldMillis();
        hold = holdMillis / MILLIS_PER_SECOND;
        watch.restartTimeout(
                holdMillis == 0
                        ? calledAt + timing.callTimeout() - loop.now()
                        : hold + WatchTiming.SILENCE_TIMEOUT_SECONDS);
        endPoint.write(
                Callback.from(() -> {}, cause -> loop.post(() -> onFailed(cause))),
                new HttpMessageBuilder("GET " + target(holdMillis) + " HTTP/1.1")
                        .field("Host", ConfigReader.text(address))
                        .noBody());
    }

    private String target(int holdMillis) {
        return "/v1/servers"
                + (watch.wantsCompleteList()
                        ? ""
                        : "?from=" + watch.version() + "&hold_ms=" + holdMillis);
    }

    // ---- the response

    /**
     * A response that has begun makes progress, and has to come to its end: its changes may count
     * as known already.
     */
    private void onProgress() {
        if (Double.isNaN(completeBy)) {
            phase = Phase.READING;
            completeBy = loop.now() + COMPLETE_RESPONSE_TIMEOUT;
        }
        watch.restartTimeout(
                Math.min(WatchTiming.SILENCE_TIMEOUT_SECONDS, completeBy - loop.now()));
    }

    @Override
    public void head(int status, Map<String, String> fields) throws IOException {
        body.reset();
        if (status != HttpStatus.OK_200) {
            counters.count(Counters.Counter.DISCOVERY_REJECTIONS);
            rejected = true;
            throw new IOException("status " + status);
        }
    }

    @Override
    public void piece(ByteBuffer bytes) throws IOException {
        if (body.size() + bytes.remaining() > watch.maxListBytes()) {
            throw new IOException(
                    "the list is over "
                            + watch.maxListBytes()
                            + " bytes, which are all that limits.memory_mb leaves for it");
        }
        byte[] piece = new byte[bytes.remaining()];
        bytes.get(piece);
        body.write(piece, 0, piece.length);
    }

    @Override
    public void end(boolean keepsOpen) throws IOException {
        boolean news = watch.onResponse(body.toByteArray());
        answeredBefore = true;
        double earlyWithin = WatchTiming.HOLD_MILLIS / MILLIS_PER_SECOND * EARLY_HOLD_FRACTION;
        boolean early = loop.now() - calledAt < earlyWithin;
        if (!news && early) {
            // Discovery does not hold its calls: without a pause it would do nothing else.
            watch.cancelTimeout();
            loop.schedule(EARLY_RESPONSE_DELAY, () -> callAgain(keepsOpen));
        } else {
            callAgain(keepsOpen);
        }
    }

    private void callAgain(boolean keepsOpen) {
        if (!watch.isCurrent(this)) {
            return;
        }
        if (keepsOpen) {
            call();
        } else {
            watch.reconnect();
        }
    }

    /** The connection as the event loop sees it. */
    private final class CallConnection extends StreamConnection {
        CallConnection(EndPoint endPoint) {
            super(endPoint, DiscoveryCall.this.loop);
        }

        @Override
        public void onOpen() {
            super.onOpen();
            call();
        }

        @Override
        protected boolean canRead() {
            return watch.isCurrent(DiscoveryCall.this);
        }

        @Override
        protected void onBytes(ByteBuffer in) throws IOException {
            onProgress();
            parser.parse(in);
        }

        @Override
        protected void onEndOfStream() {
            String reason = "the connection ended";
            try {
                parser.atEnd();
            } catch (IOException e) {
                reason = e.getMessage();
            }
            watch.onEndOfStream(DiscoveryCall.this, reason);
        }

        @Override
        protected void onFailure(Throwable cause) {
            watch.onFailure(DiscoveryCall.this, cause.toString());
        }
    }
}
