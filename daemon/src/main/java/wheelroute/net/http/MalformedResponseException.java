package wheelroute.net.http;

import java.io.IOException;

/** Thrown when a peer sends a malformed or incomplete HTTP response. */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message says what is wrong with the response. */
    public MalformedResponseException(String message) {
        super(message);
    }

    MalformedResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
