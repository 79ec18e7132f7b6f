package wheelroute.kit.cli;

/** An argument or its file cannot be used; the message names it. */
final class CommandLineException extends Exception {
    private static final long serialVersionUID = 1L;

    CommandLineException(String message) {
        super(message);
    }
}
