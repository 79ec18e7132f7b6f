package wheelroute.net.clients;

/** What came is not a message that can be taken; the status says why. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    public BadRequestException(int status, String fault) {
        super(fault);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
