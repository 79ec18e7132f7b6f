package wheelroute.net.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Parses the responses on one connection, which arrive in parts of any size. After an exception the
 * parser must not be used any more. Not thread-safe.
 */
public final class ResponseParser extends HttpMessageReader implements HttpParser.ResponseHandler {
    /**
     * Receives the responses. Each method may reject a response by an exception, which {@link
     * #parse} or {@link #atEnd} throws.
     */
    public interface Reader {
        /**
         * Receives the status, and the header fields by their names in lower case.
         *
         * @throws IOException to reject the response
         */
        void head(int status, Map<String, String> fields) throws IOException;

        /**
         * Receives a part of the body.
         *
         * @throws IOException to reject the response
         */
        void piece(ByteBuffer bytes) throws IOException;

        /**
         * Ends the response, which is complete.
         *
         * @param keepsOpen whether the connection may be used again
         * @throws IOException to reject the response
         */
        void end(boolean keepsOpen) throws IOException;
    }

    /** The maximum size of the status line with all header fields. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /**
     * Rejects no more than the standard, because workers and discovery are of the same platform.
     */
    private static final HttpCompliance COMPLIANCE = HttpCompliance.RFC9110;

    /** Lower statuses are informational, and a final response follows them. */
    private static final int FIRST_FINAL_STATUS = 200;

    private final HttpParser parser =
            withoutHeaderCache(new HttpParser(this, MAX_HEAD_BYTES, COMPLIANCE));
    private final Reader reader;
    private int status;

    /** Thrown once the parser has returned; null if there is none. */
    private IOException fault;

    /** Creates a parser for one connection. */
    public ResponseParser(Reader reader) {
        this.reader = reader;
    }

    /**
     * Parses all of the bytes.
     *
     * @throws MalformedResponseException if they are not a response
     * @throws IOException if the reader rejects the response
     */
    public void parse(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            try {
                parser.parseNext(in);
            } catch (RuntimeException e) {
                // Jetty reports some malformed messages in this way, and others to badMessage().
                throw new MalformedResponseException("not an HTTP response", e);
            }
            if (fault != null) {
                throw fault;
            }
            if (takeComplete()) {
                parser.reset();
                if (status >= FIRST_FINAL_STATUS) {
                    reader.end(keepsOpen() && !in.hasRemaining());
                }
            }
        }
    }

    /**
     * Processes the peer's end of stream, which completes a response that has no length.
     *
     * @throws MalformedResponseException if a response is incomplete
     * @throws IOException if the reader rejects the response
     */
    public void atEnd() throws IOException {
        parser.atEOF();
        parser.parseNext(ByteBuffer.allocate(0));
        if (fault != null) {
            throw fault;
        }
        if (takeComplete()) {
            reader.end(false);
        }
    }

    private interface ReaderCall {
        void run() throws IOException;
    }

    /** Calls the reader; returns true to make Jetty's parser stop. */
    private boolean isRejected(ReaderCall call) {
        try {
            call.run();
        } catch (IOException e) {
            fault = e;
        }
        return fault != null;
    }

    @Override
    public void startResponse(HttpVersion version, int newStatus, String reason) {
        status = newStatus;
        begin(version);
    }

    @Override
    public boolean headerComplete() {
        return status >= FIRST_FINAL_STATUS && isRejected(() -> reader.head(status, fields));
    }

    @Override
    public boolean content(ByteBuffer piece) {
        return isRejected(() -> reader.piece(piece));
    }

    @Override
    public void earlyEOF() {
        fault = new MalformedResponseException("the response ended early");
    }

    @Override
    public void badMessage(HttpException cause) {
        fault = new MalformedResponseException("not an HTTP response: " + cause.getReason());
    }
}
