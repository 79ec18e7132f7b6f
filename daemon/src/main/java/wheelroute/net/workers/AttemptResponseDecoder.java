package wheelroute.net.workers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.net.AttemptResult;
import wheelroute.net.LineBuffer;
import wheelroute.net.ResponseParser;

/** Decodes what a worker answers to one launch after the other on a connection. */
final class AttemptResponseDecoder implements ResponseParser.Reader {
    /** What a launch is told by its decoder. */
    interface Listener {
        void started();

        void progressed(double share);

        void ended(AttemptResult end, byte[] result, double freeSlots);

        /** The last byte of the answer has come. */
        void complete(boolean keepsOpen);
    }

    /** The protocol's limit on bodies, of which a line is a part. */
    private static final int MOST_LINE = 64 * 1024;

    private final ResponseParser parser = new ResponseParser(this);
    private final LineBuffer lines = new LineBuffer(MOST_LINE);
    private final Listener hearer;
    private String id;
    private boolean inLines;
    private boolean over = true;

    AttemptResponseDecoder(Listener hearer) {
        this.hearer = hearer;
    }

    /** The next answer is to the launch of this submission. */
    void expect(String submission) {
        id = submission;
        over = false;
        inLines = false;
        lines.clear();
    }

    /** What it tells of an answer is certain to be of the launch that was expected. */
    boolean namesItsLaunch() {
        return inLines;
    }

    void decode(ByteBuffer in) throws IOException {
        parser.parse(in);
    }

    void atEnd() throws IOException {
        parser.atEnd();
    }

    @Override
    public void head(int status, Map<String, String> fields) throws IOException {
        if (over) {
            throw new IOException("an answer to nothing");
        }
        inLines = status == HttpStatus.OK_200;
        if (!inLines) {
            boolean notBegun =
                    (status == HttpStatus.SERVICE_UNAVAILABLE_503
                                    || status == HttpStatus.GATEWAY_TIMEOUT_504)
                            && "1".equals(fields.get("x-not-processed"));
            AttemptResult end =
                    notBegun
                            ? AttemptResult.REJECTED
                            : status == HttpStatus.INTERNAL_SERVER_ERROR_500
                                    ? AttemptResult.FAILED
                                    : blamesTheMessage(status)
                                            ? AttemptResult.INVALID_REQUEST
                                            : AttemptResult.UNEXPECTED_STATUS;
            finish(
                    end,
                    AttemptListener.NO_RESULT,
                    WorkerStatusLine.freeSlots(fields.get("x-server-load")));
        }
    }

    /** The two that speak of the moment, not of the message, are left out. */
    private static boolean blamesTheMessage(int status) {
        return HttpStatus.isClientError(status)
                && status != HttpStatus.REQUEST_TIMEOUT_408
                && status != HttpStatus.TOO_MANY_REQUESTS_429;
    }

    @Override
    public void piece(ByteBuffer bytes) throws IOException {
        if (inLines) {
            for (byte[] line = lines.next(bytes); line != null; line = lines.next(bytes)) {
                endLine(line);
            }
        }
        bytes.position(bytes.limit());
    }

    private void endLine(byte[] bytes) throws IOException {
        if (over || new String(bytes, StandardCharsets.UTF_8).isBlank()) {
            return;
        }
        WorkerStatusLine note = WorkerStatusLine.decode(bytes);
        if (!note.id().equals(id)) {
            throw new IOException("a line of another launch");
        }
        switch (note.state()) {
            case STARTED -> hearer.started();
            case RUNNING -> hearer.progressed(note.share());
            case DONE -> {
                if (note.result() == null) {
                    throw new IOException("done without a result");
                }
                finish(AttemptResult.SUCCEEDED, note.result(), note.freeSlots());
            }
            case FAILED ->
                    finish(AttemptResult.FAILED, AttemptListener.NO_RESULT, note.freeSlots());
            case RETURNED ->
                    finish(AttemptResult.HANDED_BACK, AttemptListener.NO_RESULT, note.freeSlots());
            case LOST -> finish(AttemptResult.KILLED, AttemptListener.NO_RESULT, note.freeSlots());
            case UNKNOWN -> {
                // A state that came after this version: the launch still has its last line to come.
            }
        }
    }

    private void finish(AttemptResult end, byte[] result, double freeSlots) {
        over = true;
        hearer.ended(end, result, freeSlots);
    }

    @Override
    public void end(boolean keepsOpen) throws IOException {
        if (inLines && !lines.isEmpty()) {
            // A last line needs no line feed when the body ends with it.
            endLine(lines.rest());
        }
        if (!over) {
            throw new IOException("the answer ends without its last line");
        }
        hearer.complete(keepsOpen);
    }
}
