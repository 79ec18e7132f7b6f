package wheelroute.net.workers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.http.MalformedResponseException;
import wheelroute.net.http.ResponseParser;
import wheelroute.net.loop.LineBuffer;
import wheelroute.net.memory.ResponseMemory;

/**
 * Decodes the responses to the attempts on one connection.
 *
 * <p>Used on the event loop's thread only. After an exception the connection must be closed.
 */
final class AttemptResponseDecoder implements ResponseParser.Handler {
    /** Receives the contents of the responses. */
    interface Listener {
        /** Called when the worker has started to run the attempt. */
        void onStarted();

        /** Called when the worker reports the fraction of the work that is done. */
        void onProgress(double fraction);

        /** Called when the attempt has ended. The response need not be complete. */
        void onEnded(AttemptResult result, byte[] body, double freeSlots);

        /**
         * Called when the response is complete.
         *
         * @param keepsOpen whether the connection may be used again
         */
        void onComplete(boolean keepsOpen);
    }

    private static final String NOT_PROCESSED_FIELD = "x-not-processed";
    private static final String LOAD_FIELD = "x-server-load";

    private final ResponseParser parser =
            new ResponseParser(this, Set.of(NOT_PROCESSED_FIELD, LOAD_FIELD));
    private final LineBuffer lines = new LineBuffer(ResponseMemory.MAX_LINE_BYTES);
    private final Listener listener;

    /** ID of the request whose attempt awaits its response. */
    private String expectedId;

    /** Whether the body of the response consists of status lines. */
    private boolean hasStatusLines;

    /** Whether the attempt has ended; true as long as there is none. */
    private boolean ended = true;

    AttemptResponseDecoder(Listener listener) {
        this.listener = listener;
    }

    /** Sets the ID of the request to whose attempt the next response belongs. */
    void expectResponse(String requestId) {
        expectedId = requestId;
        ended = false;
        hasStatusLines = false;
        lines.clear();
    }

    /**
     * Whether the response contains the ID of its request, which is checked against the expected
     * ID.
     */
    boolean identifiesAttempt() {
        return hasStatusLines;
    }

    /** Returns the number of bytes of an incomplete line that the decoder holds. */
    int bufferedBytes() {
        return lines.bufferedBytes();
    }

    /**
     * Decodes the bytes of a response.
     *
     * @throws IOException if the bytes violate HTTP or the protocol of workers
     */
    void decode(ByteBuffer in) throws IOException {
        parser.parse(in);
    }

    /**
     * Decodes the end of the stream, which completes a response without a length.
     *
     * @throws IOException if the response is incomplete
     */
    void onEndOfStream() throws IOException {
        parser.parseEndOfStream();
    }

    @Override
    public void onHeaders(int status, Map<String, String> fields) throws IOException {
        if (ended) {
            throw new MalformedResponseException(
                    "received a response with status " + status + ", expected none");
        }
        hasStatusLines = status == HttpStatus.OK_200;
        if (!hasStatusLines) {
            finish(
                    resultOf(status, "1".equals(fields.get(NOT_PROCESSED_FIELD))),
                    WorkerStatusLine.freeSlotsInHeader(fields.get(LOAD_FIELD)));
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

    /**
     * Whether the status says that the request itself is invalid. Statuses 408 and 429 do not,
     * because they depend on the time of the attempt.
     */
    private static boolean isInvalidRequest(int status) {
        return HttpStatus.isClientError(status)
                && status != HttpStatus.REQUEST_TIMEOUT_408
                && status != HttpStatus.TOO_MANY_REQUESTS_429;
    }

    @Override
    public void onContent(ByteBuffer bytes) throws IOException {
        while (hasStatusLines && !ended) {
            byte[] line = lines.next(bytes);
            if (line == null) {
                break;
            }
            onLine(line);
        }
        bytes.position(bytes.limit());
    }

    private void onLine(byte[] bytes) throws IOException {
        if (isBlank(bytes)) {
            return;
        }
        WorkerStatusLine line = WorkerStatusLine.decode(bytes);
        if (!line.id().equals(expectedId)) {
            throw new MalformedResponseException(
                    "expected a line with ID " + expectedId + ", got " + line.id());
        }
        switch (line.state()) {
            case STARTED -> listener.onStarted();
            case RUNNING -> listener.onProgress(line.progressFraction());
            case DONE -> finishSuccessfully(line);
            case FAILED -> finish(AttemptResult.FAILED, line.freeSlots());
            case RETURNED -> finish(AttemptResult.HANDED_BACK, line.freeSlots());
            case LOST -> finish(AttemptResult.KILLED, line.freeSlots());
            case UNKNOWN -> {
                // A state added in a later version of the protocol does not end the attempt.
            }
        }
    }

    private static boolean isBlank(byte[] line) {
        for (byte b : line) {
            if (!Character.isWhitespace(b)) {
                return false;
            }
        }
        return true;
    }

    private void finishSuccessfully(WorkerStatusLine line) throws MalformedResponseException {
        if (line.result() == null) {
            throw new MalformedResponseException(
                    "expected a result in the line that reports success, got none");
        }
        finish(AttemptResult.SUCCEEDED, line.result(), line.freeSlots());
    }

    private void finish(AttemptResult result, double freeSlots) {
        finish(result, AttemptListener.NO_RESULT, freeSlots);
    }

    private void finish(AttemptResult result, byte[] body, double freeSlots) {
        ended = true;
        listener.onEnded(result, body, freeSlots);
    }

    @Override
    public void onComplete(boolean keepsOpen) throws IOException {
        if (hasStatusLines && !ended && !lines.isEmpty()) {
            // The last line may end without a line feed.
            onLine(lines.takeBuffered());
        }
        if (!ended) {
            throw new MalformedResponseException(
                    "expected a final status line, got the end of the response");
        }
        listener.onComplete(keepsOpen);
    }
}
