package wheelroute.net.workers;

import java.io.IOException;

/** Thrown for a worker's response that does not follow the protocol. */
final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
