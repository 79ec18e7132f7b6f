package wheelroute.net.handover;

import java.io.IOException;

/** Thrown when a peer violates the handover protocol. The connection to the peer is then closed. */
final class HandoverProtocolException extends IOException {
    private static final long serialVersionUID = 1;

    HandoverProtocolException(String message) {
        super(message);
    }

    HandoverProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
