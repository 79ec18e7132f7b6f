package wheelroute;

/** Thrown when the command line is invalid. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
