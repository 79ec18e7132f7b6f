package wheelroute.net.discovery;

/** Thrown when an endpoint list lacks a required field, or a field has the wrong form. */
public final class MalformedEndpointListException extends DiscoveryResponseException {
    private static final long serialVersionUID = 1;

    MalformedEndpointListException(String message) {
        super(message);
    }
}
