package wheelroute;

/** Thrown when the command line is not one that the daemon accepts. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
