package wheelroute.net.discovery;

import java.io.IOException;

/** Thrown when a response from discovery is not valid; the message says why. */
public class DiscoveryResponseException extends IOException {
    private static final long serialVersionUID = 1;

    DiscoveryResponseException(String message) {
        super(message);
    }
}
