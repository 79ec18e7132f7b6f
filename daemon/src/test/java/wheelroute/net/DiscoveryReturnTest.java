package wheelroute.net;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.net.metrics.Counters;

/**
 * Discovery is away for a while, in each way in which it can be, and its news come in time at its
 * return.
 */
public class DiscoveryReturnTest extends ServiceHarness {
    private static final double OUTAGE = 17;
    private static final double STEP = 0.1;

    /** From its return to the whole answer, whatever was drawn; news count as told after 6 s. */
    private static final double IN_TIME = 4.8;

    /** How often it goes and returns: each time other pauses are drawn. */
    private static final int RETURNS = 3;

    private static final String BUSY = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    private static final String HALF =
            "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":6,";

    private static final Counters.Counter CALLS = Counters.Counter.DISCOVERY_CALLS;
    private static final Counters.Counter FAILURES = Counters.Counter.DISCOVERY_FAILURES;

    private int refused;
    private long version = 5;

    private enum Away {
        REFUSES,
        ANSWERS_503,
        IS_SILENT,
        STOPS_HALFWAY,
        HANGS_UP,
        DOES_NOT_SHAKE_HANDS
    }

    private enum Returns {
        /** The moment at which a call has failed: all of the pause is to come. */
        AFTER_A_FAILURE,
        /**
         * The moment at which a call went out, or would have: all that it takes to fail is to come,
         * too.
         */
        AFTER_A_CALL
    }

    @DataProvider
    public Object[][] outages() {
        return new Object[][] {
            {Away.REFUSES, Returns.AFTER_A_FAILURE},
            {Away.ANSWERS_503, Returns.AFTER_A_FAILURE},
            {Away.HANGS_UP, Returns.AFTER_A_FAILURE},
            {Away.IS_SILENT, Returns.AFTER_A_FAILURE},
            {Away.IS_SILENT, Returns.AFTER_A_CALL},
            {Away.STOPS_HALFWAY, Returns.AFTER_A_FAILURE},
            {Away.STOPS_HALFWAY, Returns.AFTER_A_CALL},
            // It has no call to return after: what it then asks goes out as the handshake comes up.
            {Away.DOES_NOT_SHAKE_HANDS, Returns.AFTER_A_FAILURE},
        };
    }

    /** Rule 3: what is drained or gone meanwhile is known before it counts as told. */
    @Test(dataProvider = "outages", timeOut = 6 * TIMEOUT_MILLIS)
    public void newsComeInTimeAfterAnOutage(Away away, Returns when) throws Exception {
        clock.stop();
        InetSocketAddress worker = workers.listen();
        answerOnce(known(worker));
        serve(Idempotency.IDEMPOTENT, 1024, known(worker));
        while (figure(CALLS) < 2) {
            LockSupport.parkNanos(100_000);
        }
        awaitCalls();
        double worst = 0;
        for (int i = 0; i < RETURNS; i++) {
            goesAway(away);
            for (double passed = 0; passed < OUTAGE; passed += STEP) {
                step();
            }
            // Goes on until the worst moment for a return.
            Counters.Counter moment = when == Returns.AFTER_A_FAILURE ? FAILURES : CALLS;
            for (long before = figure(moment); figure(moment) == before; ) {
                step();
            }
            returns(away, worker, i % 2 == 0);
            double waited = 0;
            while (metric("workers_listed") != 1 + (i + 1) % 2) {
                step();
                waited += STEP;
                assertTrue(waited < 20, "it is not asked any more");
            }
            worst = Math.max(worst, waited);
        }
        assertTrue(worst <= IN_TIME + STEP, "the whole list after " + worst + " s");
    }

    /** With all that follows from the time that passes, at discovery as well. */
    private void step() throws Exception {
        long before = figure(CALLS);
        loop.step(STEP);
        if (figure(CALLS) != before) {
            awaitCalls();
        }
    }

    /** All that was asked has been heard, and what discovery said to it has been read. */
    private void awaitCalls() throws Exception {
        while (figure(CALLS) != discovery.messages.get()) {
            LockSupport.parkNanos(100_000);
        }
        metric("list_calls_total");
        loop.settle();
    }

    private long figure(Counters.Counter kind) {
        return service.counters().value(kind);
    }

    private void goesAway(Away away) throws Exception {
        // A call that discovery has not read yet would be lost with the connection, and never
        // heard.
        awaitCalls();
        switch (away) {
            case REFUSES -> refuses();
            case ANSWERS_503 -> discovery.defaultResponse = () -> BUSY;
            case IS_SILENT -> discovery.defaultResponse = () -> SILENCE;
            case STOPS_HALFWAY -> discovery.defaultResponse = () -> HALF;
            case HANGS_UP -> discovery.defaultResponse = () -> BREAK;
            default -> loop.holdConnects(Set.of(config.discovery()));
        }
        // The watch that is open ends with it, or is silent from here on.
        if (away != Away.IS_SILENT && discovery.last != null) {
            discovery.last.close();
        }
    }

    private void refuses() throws Exception {
        refused = config.discovery().getPort();
        for (AutoCloseable one : List.copyOf(open)) {
            if (one instanceof ServerSocket server && server.getLocalPort() == refused) {
                server.close();
            }
        }
    }

    private void returns(Away away, InetSocketAddress worker, boolean two) throws Exception {
        String list =
                (two ? known(worker, new InetSocketAddress(worker.getAddress(), 9)) : known(worker))
                        .replace("\"version\":5", "\"version\":" + ++version);
        answerOnce(list);
        if (away == Away.REFUSES) {
            discovery.listen(refused);
        } else if (away == Away.DOES_NOT_SHAKE_HANDS) {
            loop.releaseAll();
        }
    }

    /** The whole list to the next call, and then it holds as a watch does. */
    private void answerOnce(String list) {
        AtomicBoolean told = new AtomicBoolean();
        discovery.defaultResponse = () -> told.getAndSet(true) ? SILENCE : http(list);
    }
}
