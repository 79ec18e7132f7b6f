package wheelroute.net.clients;

import org.eclipse.jetty.http.HttpStatus;

/**
 * Thrown for a request that cannot be accepted. The response to the client has the status and the
 * message of the exception.
 */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /**
     * Creates an exception that determines the response.
     *
     * @param status the HTTP status of the response
     * @param message describes what is wrong with the request; sent as the body of the response
     */
    public BadRequestException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** Creates an exception with status 400, for a request that violates the protocol. */
    static BadRequestException malformed(String message) {
        return new BadRequestException(HttpStatus.BAD_REQUEST_400, message);
    }

    public int status() {
        return status;
    }

    /** Returns the rejection of input behind a request, for which there was no memory. */
    static BadRequestException tooMuchInput() {
        return new BadRequestException(
                HttpStatus.SERVICE_UNAVAILABLE_503,
                "too much input behind a request that was not answered yet");
    }
}
