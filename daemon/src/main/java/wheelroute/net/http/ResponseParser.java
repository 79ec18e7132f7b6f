package wheelroute.net.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Parses the HTTP responses on one connection. The bytes may arrive in parts of any size. After an
 * exception the parser must not be used any more. Not thread-safe.
 */
public final class ResponseParser extends HttpMessageReader implements HttpParser.ResponseHandler {
    /**
     * Receives the parsed responses. Each method may throw an exception to reject a response;
     * {@link #parse} or {@link #parseEndOfStream} then throws that exception.
     */
    public interface Handler {
        /**
         * Receives the status and the kept header fields, whose names are in lower case.
         *
         * @throws IOException to reject the response
         */
        void onHeaders(int status, Map<String, String> fields) throws IOException;

        /**
         * Receives the next part of the body.
         *
         * @throws IOException to reject the response
         */
        void onContent(ByteBuffer bytes) throws IOException;

        /**
         * Called when the response is complete.
         *
         * @param keepsOpen whether the connection may be used for another request
         * @throws IOException to reject the response
         */
        void onComplete(boolean keepsOpen) throws IOException;
    }

    /** The maximum size of the status line together with all header fields. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /**
     * The compliance mode, which is no stricter than the standard, because workers and discovery
     * belong to the same platform as the dispatcher.
     */
    private static final HttpCompliance COMPLIANCE = HttpCompliance.RFC9110;

    /** The lowest status of a final response. Lower ones are informational and precede it. */
    private static final int FIRST_FINAL_STATUS = 200;

    private final Handler handler;

    /** The parser of the current message; null between two messages, as its buffers are large. */
    private HttpParser parser;

    private int status;

    /** The exception to throw once Jetty's parser has returned; null if there is none. */
    private IOException failure;

    /**
     * Creates a parser for a new connection.
     *
     * @param keptFields the lower-case names of the header fields that the handler uses
     */
    public ResponseParser(Handler handler, Set<String> keptFields) {
        super(keptFields);
        this.handler = handler;
    }

    private HttpParser parser() {
        if (parser == null) {
            parser = withoutHeaderCache(new HttpParser(this, MAX_HEAD_BYTES, COMPLIANCE));
        }
        return parser;
    }

    /**
     * Parses all remaining bytes of the buffer.
     *
     * @throws MalformedResponseException if the bytes are not an HTTP response
     * @throws IOException if the handler rejects the response
     */
    public void parse(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            try {
                parser().parseNext(in);
            } catch (RuntimeException e) {
                // Jetty throws for some malformed messages, and calls badMessage() for others.
                throw new MalformedResponseException("not an HTTP response", e);
            }
            if (failure != null) {
                throw failure;
            }
            if (takeComplete()) {
                parser = null;
                if (status >= FIRST_FINAL_STATUS) {
                    handler.onComplete(keepsOpen() && !in.hasRemaining());
                }
            }
        }
    }

    /**
     * Processes the peer's end of stream, which completes a response of unknown length.
     *
     * @throws MalformedResponseException if a response is incomplete
     * @throws IOException if the handler rejects the response
     */
    public void parseEndOfStream() throws IOException {
        parser().atEOF();
        parser().parseNext(ByteBuffer.allocate(0));
        if (failure != null) {
            throw failure;
        }
        if (takeComplete()) {
            handler.onComplete(false);
        }
    }

    private interface HandlerCall {
        void run() throws IOException;
    }

    /** Calls the handler. Returns whether Jetty's parser must stop because of an exception. */
    private boolean callHandler(HandlerCall call) {
        try {
            call.run();
        } catch (IOException e) {
            failure = e;
        }
        return failure != null;
    }

    @Override
    public void startResponse(HttpVersion version, int newStatus, String reason) {
        status = newStatus;
        beginMessage(version);
    }

    @Override
    public boolean headerComplete() {
        return status >= FIRST_FINAL_STATUS && callHandler(() -> handler.onHeaders(status, fields));
    }

    @Override
    public boolean content(ByteBuffer piece) {
        return callHandler(() -> handler.onContent(piece));
    }

    @Override
    public void earlyEOF() {
        failure = new MalformedResponseException("the response ended early");
    }

    @Override
    public void badMessage(HttpException cause) {
        failure = new MalformedResponseException("not an HTTP response: " + cause.getReason());
    }
}
