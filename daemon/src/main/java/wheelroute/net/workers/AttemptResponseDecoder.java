package wheelroute.net.workers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.http.ResponseParser;
import wheelroute.net.loop.LineBuffer;

/** Decodes the responses to the attempts on one connection. */
final class AttemptResponseDecoder implements ResponseParser.Reader {
    /** Hears what the responses say. */
    interface Listener {
        void onStarted();

        void onProgress(double share);

        /** The attempt has ended; its response may have bytes to come. */
        void onEnded(AttemptResult result, byte[] body, double freeSlots);

        /** The last byte of the response has come. */
        void onComplete(boolean keepsOpen);
    }

    /** In bytes: the protocol's limit on bodies, of which a line is a part. */
    private static final int MAX_LINE = 64 * 1024;

    private final ResponseParser parser = new ResponseParser(this);
    private final LineBuffer lines = new LineBuffer(MAX_LINE);
    private final Listener listener;

    /** The request of the attempt that is expected to be responded to. */
    private String id;

    /** The body consists of status lines. */
    private boolean hasStatusLines;

    /** The attempt has ended; or there has been none. */
    private boolean ended = true;

    AttemptResponseDecoder(Listener listener) {
        this.listener = listener;
    }

    /** The next response is to an attempt for the request of this id. */
    void expect(String requestId) {
        id = requestId;
        ended = false;
        hasStatusLines = false;
        lines.clear();
    }

    /** Whether the response says which attempt it is for; it has been checked then. */
    boolean identifiesAttempt() {
        return hasStatusLines;
    }

    void decode(ByteBuffer in) throws IOException {
        parser.parse(in);
    }

    void atEnd() throws IOException {
        parser.atEnd();
    }

    @Override
    public void head(int status, Map<String, String> fields) throws IOException {
        if (ended) {
            throw new IOException("an answer to nothing");
        }
        hasStatusLines = status == HttpStatus.OK_200;
        if (!hasStatusLines) {
            finish(
                    resultOf(status, "1".equals(fields.get("x-not-processed"))),
                    AttemptListener.NO_RESULT,
                    WorkerStatusLine.freeSlots(fields.get("x-server-load")));
        }
    }

    private static AttemptResult resultOf(int status, boolean notProcessed) {
        boolean unavailable =
                status == HttpStatus.SERVICE_UNAVAILABLE_503
                        || status == HttpStatus.GATEWAY_TIMEOUT_504;
        if (unavailable && notProcessed) {
            return AttemptResult.REJECTED;
        }
        if (status == HttpStatus.INTERNAL_SERVER_ERROR_500) {
            return AttemptResult.FAILED;
        }
        return isInvalidRequest(status)
                ? AttemptResult.INVALID_REQUEST
                : AttemptResult.UNEXPECTED_STATUS;
    }

    /** 408 and 429 are about the moment, not about the request. */
    private static boolean isInvalidRequest(int status) {
        return HttpStatus.isClientError(status)
                && status != HttpStatus.REQUEST_TIMEOUT_408
                && status != HttpStatus.TOO_MANY_REQUESTS_429;
    }

    @Override
    public void piece(ByteBuffer bytes) throws IOException {
        if (hasStatusLines) {
            for (byte[] line = lines.next(bytes); line != null; line = lines.next(bytes)) {
                onLine(line);
            }
        }
        bytes.position(bytes.limit());
    }

    private void onLine(byte[] bytes) throws IOException {
        if (ended || new String(bytes, StandardCharsets.UTF_8).isBlank()) {
            return;
        }
        WorkerStatusLine line = WorkerStatusLine.decode(bytes);
        if (!line.id().equals(id)) {
            throw new IOException("a line of another launch");
        }
        switch (line.state()) {
            case STARTED -> listener.onStarted();
            case RUNNING -> listener.onProgress(line.share());
            case DONE -> {
                if (line.result() == null) {
                    throw new IOException("done without a result");
                }
                finish(AttemptResult.SUCCEEDED, line.result(), line.freeSlots());
            }
            case FAILED ->
                    finish(AttemptResult.FAILED, AttemptListener.NO_RESULT, line.freeSlots());
            case RETURNED ->
                    finish(AttemptResult.HANDED_BACK, AttemptListener.NO_RESULT, line.freeSlots());
            case LOST -> finish(AttemptResult.KILLED, AttemptListener.NO_RESULT, line.freeSlots());
            case UNKNOWN -> {
                // A state of a later version: the attempt's last line is still to come.
            }
        }
    }

    private void finish(AttemptResult result, byte[] body, double freeSlots) {
        ended = true;
        listener.onEnded(result, body, freeSlots);
    }

    @Override
    public void end(boolean keepsOpen) throws IOException {
        if (hasStatusLines && !lines.isEmpty()) {
            // A last line needs no line feed when the body ends with it.
            onLine(lines.rest());
        }
        if (!ended) {
            throw new IOException("the answer ends without its last line");
        }
        listener.onComplete(keepsOpen);
    }
}
