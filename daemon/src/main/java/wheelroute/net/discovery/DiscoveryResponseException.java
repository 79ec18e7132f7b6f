package wheelroute.net.discovery;

import java.io.IOException;

/** Thrown when a response of discovery cannot be used. */
public class DiscoveryResponseException extends IOException {
    private static final long serialVersionUID = 1;

    DiscoveryResponseException(String message) {
        super(message);
    }
}
