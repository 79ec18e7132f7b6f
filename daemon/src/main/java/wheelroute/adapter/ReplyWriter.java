package wheelroute.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Ids;

/** One reply, gathered in a buffer: the actions of each instance under its own SOURCE line. */
final class ReplyWriter {
    private static final int FIRST_BUFFER = 1 << 14;
    private static final int LONGEST_NUMBER = 20;
    private static final double MICROS = 1e6;
    private static final String WAKE_TOKEN = "w";

    /** Of a wake at which the list is asked for again, which the decisions need not hear of. */
    static final String LIST_TOKEN = "l";

    private final OutputStream out;
    private byte[] buffer = new byte[FIRST_BUFFER];
    private int used;
    private long source = -1;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    void finish() throws IOException {
        word("DONE").end();
        out.write(buffer, 0, used);
        out.flush();
        used = 0;
        source = -1;
    }

    /** The actions of one instance. */
    ActionHandler forInstance(long instance) {
        return new ActionHandler() {
            @Override
            public void startAttempt(Ids.Request submission, Ids.Worker worker, double limit) {
                from(instance).word("TRY").number(submission.value()).number(worker.value());
                number(micros(limit)).end();
            }

            @Override
            public void reject(Ids.Request submission, double retryAfter) {
                from(instance).word("OVERLOAD_REPLY").number(submission.value());
                number(micros(retryAfter)).end();
            }

            @Override
            public void fail(Ids.Request submission) {
                from(instance).word("SURRENDER").number(submission.value()).end();
            }

            @Override
            public void cancelAttempt(Ids.Request submission, int launch) {
                from(instance).word("CALL_OFF").number(submission.value()).number(launch).end();
            }

            @Override
            public void scheduleWakeup(double delay) {
                wakeAfter(instance, delay, WAKE_TOKEN);
            }

            @Override
            public void watchEndpoints() {
                from(instance).word("WATCH").number(1).end();
            }
        };
    }

    void wakeAfter(long instance, double delay, String token) {
        from(instance).word("SLEEP").number(micros(delay)).word(token).end();
    }

    private static long micros(double seconds) {
        return Math.round(seconds * MICROS);
    }

    private ReplyWriter from(long instance) {
        if (instance != source) {
            source = instance;
            word("SOURCE").number(instance).end();
        }
        return this;
    }

    private void room(int more) {
        if (used + more + 1 > buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length + more);
        }
    }

    private ReplyWriter word(String s) {
        byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
        room(bytes.length);
        System.arraycopy(bytes, 0, buffer, used, bytes.length);
        used += bytes.length;
        buffer[used++] = ' ';
        return this;
    }

    private ReplyWriter number(long v) {
        room(LONGEST_NUMBER);
        if (v < 0) {
            buffer[used++] = '-';
            v = -v;
        }
        int digits = 1;
        for (long rest = v / 10; rest > 0; rest /= 10) {
            digits++;
        }
        for (int i = used + digits - 1; i >= used; i--) {
            buffer[i] = (byte) ('0' + v % 10);
            v /= 10;
        }
        used += digits;
        buffer[used++] = ' ';
        return this;
    }

    private void end() {
        buffer[used - 1] = '\n';
    }
}
