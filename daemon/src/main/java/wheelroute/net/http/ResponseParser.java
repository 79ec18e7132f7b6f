package wheelroute.net.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/** Parses the responses on one connection, in whatever pieces they come. */
public final class ResponseParser extends HttpMessageReader implements HttpParser.ResponseHandler {
    /** Receives a response. Any method may reject it with an exception, which ends the parsing. */
    public interface Reader {
        /**
         * The status and the header fields, by their names in lower case.
         *
         * @throws IOException to reject the response
         */
        void head(int status, Map<String, String> fields) throws IOException;

        /**
         * A part of the body.
         *
         * @throws IOException to reject the response
         */
        void piece(ByteBuffer bytes) throws IOException;

        /**
         * The response is complete.
         *
         * @param keepsOpen whether the connection may be used again
         * @throws IOException to reject the response
         */
        void end(boolean keepsOpen) throws IOException;
    }

    /** In bytes: the status line with all header fields. */
    private static final int MAX_HEAD_SIZE = 8 * 1024;

    /** Not stricter than the standard: workers and discovery belong to the same platform. */
    private static final HttpCompliance COMPLIANCE = HttpCompliance.RFC9110;

    private static final int FIRST_FINAL_STATUS = 200;

    private final HttpParser parser =
            withoutHeaderCache(new HttpParser(this, MAX_HEAD_SIZE, COMPLIANCE));
    private final Reader reader;
    private int status;
    private IOException fault;

    /** Makes a parser for one connection. */
    public ResponseParser(Reader reader) {
        this.reader = reader;
    }

    /**
     * Parses all of the bytes.
     *
     * @throws IOException if they are not a response, or the reader rejects it
     */
    public void parse(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            try {
                parser.parseNext(in);
            } catch (RuntimeException e) {
                // The parser reports some malformed messages so, others to badMessage().
                throw new IOException("no HTTP answer", e);
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
     * The peer has ended its sending, which completes a response that has no length.
     *
     * @throws IOException if a response is cut off, or the reader rejects it
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
        fault = new IOException("the answer ends early");
    }

    @Override
    public void badMessage(HttpException cause) {
        fault = new IOException("no HTTP answer: " + cause.getReason());
    }
}
