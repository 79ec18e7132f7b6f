package wheelroute.net.http;

import java.io.IOException;

/** Thrown when a peer sends something that is not an HTTP response, or only a part of one. */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; the message says what is wrong with the response. */
    public MalformedResponseException(String message) {
        super(message);
    }

    MalformedResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
