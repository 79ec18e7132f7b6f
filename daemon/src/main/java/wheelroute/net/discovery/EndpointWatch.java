package wheelroute.net.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.SplittableRandom;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.ConfigReader;
import wheelroute.discovery.Backoff;
import wheelroute.net.Counters;
import wheelroute.net.EventLoop;
import wheelroute.net.HttpText;
import wheelroute.net.ResponseParser;
import wheelroute.net.StreamConnection;

/** The watch on discovery: one call always open, the next made as soon as one is answered. */
public final class EndpointWatch {
    /** What the watch brings. */
    public interface Listener {
        void onEndpoints(EndpointList list);
    }

    /**
     * What a silent watch does not tell counts as told 6 s after it fell silent. Of these a call
     * holds 3 to 3.6, so that it is noticed after 4.5 at most, and enough is left to wait for a
     * turn at discovery and to ask once more.
     */
    private static final int HOLD_MILLIS = 3000;

    /**
     * Dispatchers that start together would ask in step for ever, and wait for each other's
     * answers.
     */
    private static final int HOLD_SPREAD_MILLIS = 600;

    /** An answer this long after its hold is over is given up. */
    private static final double SILENCE = 0.9;

    /**
     * So long after a silence failures are not waited out, as the time for what it kept from us
     * runs.
     */
    private static final double CATCH_UP = 2;

    /** An answer that has begun has so long for the rest of it, as long as it goes on. */
    private static final double WHOLE_ANSWER = 3;

    /** Half of what may pass between two calls of one watch. */
    private static final double EARLY_PAUSE = 0.1;

    /** A list that is read lies in memory as it comes, as its entries, and as what they replace. */
    private static final double LIST_PART = 1 / 12.0;

    /** Read in any case: some thousands of workers. */
    private static final int LEAST_MOST = 1 << 20;

    private static final double MILLIS = 1e3;

    /** The version of who knows nothing yet. */
    public static final long NO_VERSION = -1;

    /**
     * A new address must have told the whole list within 4 s: until then failures are not waited
     * out.
     */
    private static final double HURRY = 4;

    /** In a hurry a call that holds nothing has this long: two more may follow it in time. */
    private static final double HURRIED_SILENCE = 1.2;

    private static final double HURRIED_PAUSE = 0.2;
    private static final Logger LOG = LoggerFactory.getLogger(EndpointWatch.class);

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Counters counters;
    private final Listener hearer;
    private long version;
    private boolean wantsWhole;
    private WatchCall call;
    private EventLoop.Timer silence;
    private double hurryUntil = Double.NEGATIVE_INFINITY;
    private boolean stopped;
    private final WatchOptions manner;

    /** In bytes; the heap follows what the process may take. */
    private final long mostList =
            Math.max(LEAST_MOST, (long) (LIST_PART * Runtime.getRuntime().maxMemory()));

    private final Backoff backoff;
    private final SplittableRandom random;

    /**
     * The last call failed, and no call since has been answered: what is known there is wanted at
     * once.
     */
    private boolean recovering;

    /**
     * How it is to be asked.
     *
     * @param seed for the spread of its calls
     * @param listIsPushed it is an agent of this dispatcher's own, whose news count as told whether
     *     or not they were asked for: then no failure is waited out
     */
    public record WatchOptions(long seed, boolean listIsPushed) {}

    public EndpointWatch(
            EventLoop loop,
            InetSocketAddress address,
            Counters counters,
            Listener hearer,
            long version,
            WatchOptions manner) {
        this.loop = loop;
        this.address = address;
        this.counters = counters;
        this.hearer = hearer;
        this.version = version;
        this.manner = manner;
        random = new SplittableRandom(manner.seed);
        backoff = new Backoff(random.nextLong());
        wantsWhole = version == NO_VERSION;
    }

    /** Begins to watch, unless it is under way. */
    public void watch() {
        if (call == null && !stopped) {
            call = new WatchCall();
            loop.connect(address, call);
            waitFor(patience());
        }
    }

    /** Begins to watch in place of another that has ended: the whole list is wanted, and soon. */
    public void watchUrgently() {
        hurryUntil = loop.now() + HURRY;
        watch();
    }

    /** Ends it for good; neither its end nor what comes late is told. */
    public void stop() {
        stopped = true;
        if (call != null) {
            drop();
        }
    }

    private void drop() {
        WatchCall last = call;
        call = null;
        silence.cancel();
        last.close();
    }

    private boolean isInHurry() {
        return loop.now() < hurryUntil;
    }

    /** How long a call that holds nothing may take, with its connection's coming up. */
    private double patience() {
        return isInHurry() ? HURRIED_SILENCE : Backoff.CALL_TIMEOUT;
    }

    private void waitFor(double limit) {
        if (silence != null) {
            silence.cancel();
        }
        WatchCall current = call;
        silence = loop.schedule(limit, () -> silent(current));
    }

    /**
     * The watch is broken, and has to be opened anew before what it did not tell counts as told.
     */
    private void silent(WatchCall which) {
        if (isFailed(which, "silence")) {
            if (which.hold == 0) {
                // It is not the one watch: discovery may have more to do than it can, and needs a
                // pause.
                failed(which);
            } else {
                hurryUntil = loop.now() + CATCH_UP;
                watch();
            }
        }
    }

    private void failed(WatchCall which, String why) {
        if (isFailed(which, why)) {
            failed(which);
        }
    }

    private void failed(WatchCall which) {
        double pause = backoff.nextDelay(loop.now() - which.askedAt);
        loop.schedule(isInHurry() || manner.listIsPushed ? HURRIED_PAUSE : pause, this::watch);
    }

    /**
     * A watch that worked ended without a word: what it would have told next should not wait for a
     * pause.
     */
    private void broken(WatchCall which, String why) {
        if (isFailed(which, why)) {
            if (which.worked) {
                watch();
            } else {
                failed(which);
            }
        }
    }

    private boolean isFailed(WatchCall which, String why) {
        if (call == null || which != call) {
            return false;
        }
        LOG.info("a call for the list failed: {}", why);
        counters.count(Counters.Counter.DISCOVERY_FAILURES);
        recovering = true;
        drop();
        return true;
    }

    /** How long the next call may wait at discovery, in milliseconds. */
    private int hold() {
        if (isInHurry() || recovering) {
            // What is known there is wanted at once, and whether it answers at all.
            return 0;
        }
        return HOLD_MILLIS + random.nextInt(HOLD_SPREAD_MILLIS);
    }

    /** Takes an answer; true when it told something. */
    private boolean take(byte[] json) throws IOException {
        EndpointList list = EndpointList.decode(json);
        if (!list.complete()) {
            if (wantsWhole) {
                throw new IOException("changes where the whole list was asked for");
            }
            // Changes older than what we hold mean that discovery has begun anew: only a whole list
            // can tell.
            wantsWhole = list.version() < version;
            if (wantsWhole) {
                return true;
            }
        }
        version = list.version();
        wantsWhole = false;
        hurryUntil = Double.NEGATIVE_INFINITY;
        hearer.onEndpoints(list);
        return list.complete() || !list.entries().isEmpty();
    }

    /** One connection to discovery, and the calls made on it. */
    private final class WatchCall implements EventLoop.ChannelHandler, ResponseParser.Reader {
        private final ResponseParser parser = new ResponseParser(this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private EndPoint endPoint;

        /** Of the call now made: its connect's beginning, or the end of the answer before it. */
        private double askedAt = loop.now();

        private boolean asked;
        private double hold;

        /** It has answered before. */
        private boolean worked;

        /** By when the answer that has begun has to be whole; NaN before. */
        private double wholeBy = Double.NaN;

        @Override
        public Connection onOpened(EndPoint opened) {
            endPoint = opened;
            return new WatchConnection(opened);
        }

        @Override
        public void onFailed(Throwable cause) {
            EndpointWatch.this.failed(this, "no connection");
        }

        private void close() {
            if (endPoint != null) {
                endPoint.close();
            }
        }

        private void ask() {
            if (call != this) {
                close();
                return;
            }
            counters.count(Counters.Counter.DISCOVERY_CALLS);
            askedAt = asked ? loop.now() : askedAt;
            asked = true;
            wholeBy = Double.NaN;
            int holdMillis = wantsWhole ? 0 : hold();
            hold = holdMillis / MILLIS;
            String target =
                    "/v1/servers"
                            + (wantsWhole ? "" : "?from=" + version + "&hold_ms=" + holdMillis);
            waitFor(holdMillis == 0 ? askedAt + patience() - loop.now() : hold + SILENCE);
            endPoint.write(
                    Callback.from(() -> {}, cause -> loop.post(() -> onFailed(cause))),
                    new HttpText("GET " + target + " HTTP/1.1")
                            .field("Host", ConfigReader.text(address))
                            .noBody());
        }

        /**
         * An answer that has begun goes on, and comes to its end: its news may count as told
         * already.
         */
        private void goesOn() {
            if (Double.isNaN(wholeBy)) {
                wholeBy = loop.now() + WHOLE_ANSWER;
            }
            waitFor(Math.min(SILENCE, wholeBy - loop.now()));
        }

        @Override
        public void head(int status, Map<String, String> fields) throws IOException {
            body.reset();
            if (status != HttpStatus.OK_200) {
                throw new IOException("status " + status);
            }
        }

        @Override
        public void piece(ByteBuffer bytes) throws IOException {
            if (body.size() + bytes.remaining() > mostList) {
                throw new IOException(
                        "the list is over "
                                + mostList
                                + " bytes, which are all that limits.memory_mb leaves for it");
            }
            byte[] piece = new byte[bytes.remaining()];
            bytes.get(piece);
            body.write(piece, 0, piece.length);
        }

        @Override
        public void end(boolean keepsOpen) throws IOException {
            boolean told = take(body.toByteArray());
            worked = true;
            recovering = false;
            backoff.reset();
            boolean early = loop.now() - askedAt < HOLD_MILLIS / MILLIS / 2;
            if (!told && early) {
                // Guards against a discovery that does not hold: calls without a pause would be all
                // it does.
                silence.cancel();
                loop.schedule(EARLY_PAUSE, () -> next(keepsOpen));
            } else {
                next(keepsOpen);
            }
        }

        private void next(boolean keepsOpen) {
            if (call != this) {
                return;
            }
            if (keepsOpen) {
                ask();
            } else {
                // The next call needs a new connection, but is still the same watch. It is not this
                // one's end
                // that the close tells of: that would count as a failure.
                call = null;
                close();
                watch();
                if (call != null) {
                    call.worked = true;
                }
            }
        }

        /** The connection as the loop sees it. */
        private final class WatchConnection extends StreamConnection {
            WatchConnection(EndPoint endPoint) {
                super(endPoint, EndpointWatch.this.loop);
            }

            @Override
            public void onOpen() {
                super.onOpen();
                ask();
            }

            @Override
            protected boolean canRead() {
                return call == WatchCall.this;
            }

            @Override
            protected void onBytes(ByteBuffer in) throws IOException {
                goesOn();
                parser.parse(in);
            }

            @Override
            protected void onEndOfStream() {
                String why = "the connection ended";
                try {
                    parser.atEnd();
                } catch (IOException e) {
                    why = e.getMessage();
                }
                EndpointWatch.this.broken(WatchCall.this, why);
            }

            @Override
            protected void onFailure(Throwable cause) {
                EndpointWatch.this.failed(WatchCall.this, cause.toString());
            }
        }
    }
}
