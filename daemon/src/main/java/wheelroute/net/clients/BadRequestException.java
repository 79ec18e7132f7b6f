package wheelroute.net.clients;

/** A request that cannot be accepted; the HTTP status and the message go to the client. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /**
     * Makes an exception.
     *
     * @param status the HTTP status to respond with
     * @param message what is wrong
     */
    public BadRequestException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The HTTP status to respond with. */
    public int status() {
        return status;
    }
}
