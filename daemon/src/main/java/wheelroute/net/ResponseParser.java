package wheelroute.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * The answers on a connection of ours, in whatever pieces they come: status, fields, the body's
 * pieces.
 */
public final class ResponseParser extends MessageReader implements HttpParser.ResponseHandler {
    /** What is told of an answer. Any of them may refuse it. */
    public interface Reader {
        void head(int status, Map<String, String> fields) throws IOException;

        void piece(ByteBuffer bytes) throws IOException;

        /** The whole answer has come; the connection may be used again, or not. */
        void end(boolean keepsOpen) throws IOException;
    }

    private static final int MOST_HEAD = 8 * 1024;

    /**
     * As the standard reads answers: workers and discovery are ours, and what they say is checked.
     */
    private static final HttpCompliance READING = HttpCompliance.RFC9110;

    private static final int FIRST_FINAL_STATUS = 200;

    private final HttpParser parser = lean(new HttpParser(this, MOST_HEAD, READING));
    private final Reader reader;
    private int status;
    private IOException fault;

    public ResponseParser(Reader reader) {
        this.reader = reader;
    }

    /** Uses up the bytes; throws when they are not an answer, or the reader refuses it. */
    public void parse(ByteBuffer in) throws IOException {
        while (in.hasRemaining()) {
            try {
                parser.parseNext(in);
            } catch (RuntimeException e) {
                // Some nonsense is told so, the rest as a bad message: neither ends more than its
                // connection.
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

    /** The other side has ended: this is a whole answer only if it had no other way to end. */
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

    private interface Step {
        void run() throws IOException;
    }

    private boolean refused(Step step) {
        try {
            step.run();
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
        return status >= FIRST_FINAL_STATUS && refused(() -> reader.head(status, fields));
    }

    @Override
    public boolean content(ByteBuffer piece) {
        return refused(() -> reader.piece(piece));
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
