package wheelroute.net.clients;

import org.eclipse.jetty.http.HttpStatus;

/**
 * Thrown for a request that cannot be accepted. The client gets the HTTP status and the message.
 */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /**
     * Creates an exception.
     *
     * @param status the HTTP status of the response
     * @param message the fault, which is the body of the response
     */
    public BadRequestException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** Creates the exception for a request that does not follow the protocol. */
    static BadRequestException malformed(String message) {
        return new BadRequestException(HttpStatus.BAD_REQUEST_400, message);
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }
}
