package wheelroute.kit.cli;

/** Input that cannot be used; the message names the place. */
final class CommandLineException extends Exception {
    private static final long serialVersionUID = 1L;

    CommandLineException(String message) {
        super(message);
    }
}
