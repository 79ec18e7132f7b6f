package wheelroute.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Ids;

/**
 * Buffers the reply to one batch: the actions of the instances, each run of actions of one instance
 * introduced by a SOURCE line.
 */
final class ReplyWriter {
    private static final int INITIAL_BUFFER_SIZE = 1 << 14;
    private static final long NO_SOURCE = -1;
    private static final int MAX_NUMBER_LENGTH = 20;

    /** Token of a wakeup of the policy. */
    private static final String POLICY_TOKEN = "w";

    /**
     * Token of a wakeup that retries the call for the endpoint list; the policy is not involved.
     */
    static final String LIST_RETRY_TOKEN = "l";

    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_BUFFER_SIZE];
    private int used;

    /** The instance of the last SOURCE line. */
    private long source = NO_SOURCE;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** Writes the reply to the stream, and starts the next one. */
    void finish() throws IOException {
        text("DONE").endLine();
        out.write(buffer, 0, used);
        out.flush();
        used = 0;
        source = NO_SOURCE;
    }

    /** Writes the actions of one instance to the reply. */
    ActionHandler forInstance(long instance) {
        return new ActionHandler() {
            @Override
            public void startAttempt(Ids.Request request, Ids.Worker worker, double timeout) {
                startAction(instance).text("TRY").number(request.value()).number(worker.value());
                number(WireMapping.micros(timeout)).endLine();
            }

            @Override
            public void reject(Ids.Request request, double retryAfter) {
                startAction(instance).text("OVERLOAD_REPLY").number(request.value());
                number(WireMapping.micros(retryAfter)).endLine();
            }

            @Override
            public void fail(Ids.Request request) {
                startAction(instance).text("SURRENDER").number(request.value()).endLine();
            }

            @Override
            public void cancelAttempt(Ids.Request request, int attempt) {
                startAction(instance)
                        .text("CALL_OFF")
                        .number(request.value())
                        .number(attempt)
                        .endLine();
            }

            @Override
            public void scheduleWakeup(double delay) {
                wakeAfter(instance, delay, POLICY_TOKEN);
            }

            @Override
            public void watchEndpoints() {
                startAction(instance).text("WATCH").number(1).endLine();
            }
        };
    }

    /** Requests a wakeup of the instance after a delay in seconds, with this token. */
    void wakeAfter(long instance, double delay, String token) {
        startAction(instance).text("SLEEP").number(WireMapping.micros(delay)).text(token).endLine();
    }

    private ReplyWriter startAction(long instance) {
        if (instance != source) {
            source = instance;
            text("SOURCE").number(instance).endLine();
        }
        return this;
    }

    private void ensureCapacity(int more) {
        if (used + more + 1 > buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length + more);
        }
    }

    private ReplyWriter text(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, used, bytes.length);
        used += bytes.length;
        buffer[used++] = ' ';
        return this;
    }

    private ReplyWriter number(long value) {
        ensureCapacity(MAX_NUMBER_LENGTH);
        if (value < 0) {
            buffer[used++] = '-';
            value = -value;
        }
        int digits = 1;
        for (long rest = value / 10; rest > 0; rest /= 10) {
            digits++;
        }
        for (int i = used + digits - 1; i >= used; i--) {
            buffer[i] = (byte) ('0' + value % 10);
            value /= 10;
        }
        used += digits;
        buffer[used++] = ' ';
        return this;
    }

    private void endLine() {
        buffer[used - 1] = '\n';
    }
}
