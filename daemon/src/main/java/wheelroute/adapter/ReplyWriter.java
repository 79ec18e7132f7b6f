package wheelroute.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Ids;

/**
 * Writes the replies to batches. A reply lists the actions of the dispatchers; a SOURCE line
 * precedes the consecutive actions of one dispatcher. The reply is buffered until it is complete.
 * Not thread-safe.
 */
final class ReplyWriter {
    private static final int INITIAL_BUFFER_BYTES = 1 << 14;
    private static final long NO_SOURCE = -1;

    /** Length of the longest number, including its sign. */
    private static final int MAX_NUMBER_BYTES = 20;

    private static final int DECIMAL_RADIX = 10;

    /** Token of the wakeups that a policy schedules. */
    private static final String POLICY_TOKEN = "w";

    /**
     * Token of the wakeups after which the adapter, not the policy, polls the endpoint list again.
     */
    static final String LIST_RETRY_TOKEN = "l";

    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int used;

    /** The dispatcher of the last SOURCE line in the current reply. */
    private long source = NO_SOURCE;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** Completes the current reply, writes it to the stream, and begins the next one. */
    void finish() throws IOException {
        text("DONE").endLine();
        out.write(buffer, 0, used);
        out.flush();
        used = 0;
        source = NO_SOURCE;
    }

    /** Returns a handler that adds the actions of one dispatcher to the current reply. */
    ActionHandler forInstance(long instance) {
        return new ActionHandler() {
            @Override
            public void startAttempt(Ids.Request request, Ids.Worker worker, double limitSeconds) {
                startAction(instance).text("TRY").number(request.value()).number(worker.value());
                number(WireMapping.micros(limitSeconds)).endLine();
            }

            @Override
            public void reject(Ids.Request request, double retryAfterSeconds) {
                startAction(instance).text("OVERLOAD_REPLY").number(request.value());
                number(WireMapping.micros(retryAfterSeconds)).endLine();
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
            public void scheduleWakeup(double delaySeconds) {
                wakeAfter(instance, delaySeconds, POLICY_TOKEN);
            }

            @Override
            public void watchEndpoints() {
                startAction(instance).text("WATCH").number(1).endLine();
            }
        };
    }

    /** Adds an action that schedules a wakeup of a dispatcher; the wakeup event holds the token. */
    void wakeAfter(long instance, double delaySeconds, String token) {
        startAction(instance).text("SLEEP").number(WireMapping.micros(delaySeconds));
        text(token).endLine();
    }

    private ReplyWriter startAction(long instance) {
        if (instance != source) {
            source = instance;
            text("SOURCE").number(instance).endLine();
        }
        return this;
    }

    private void ensureCapacity(int addedBytes) {
        if (used + addedBytes + 1 > buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length + addedBytes);
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
        ensureCapacity(MAX_NUMBER_BYTES);
        if (value < 0) {
            buffer[used++] = '-';
            value = -value;
        }
        int digits = 1;
        for (long rest = value / DECIMAL_RADIX; rest > 0; rest /= DECIMAL_RADIX) {
            digits++;
        }
        for (int i = used + digits - 1; i >= used; i--) {
            buffer[i] = (byte) ('0' + value % DECIMAL_RADIX);
            value /= DECIMAL_RADIX;
        }
        used += digits;
        buffer[used++] = ' ';
        return this;
    }

    private void endLine() {
        buffer[used - 1] = '\n';
    }
}
