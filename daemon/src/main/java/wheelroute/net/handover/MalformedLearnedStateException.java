package wheelroute.net.handover;

import java.io.IOException;

/** Thrown when learned state cannot be decoded because it is malformed or of another version. */
public final class MalformedLearnedStateException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedLearnedStateException(String message) {
        super(message);
    }
}
