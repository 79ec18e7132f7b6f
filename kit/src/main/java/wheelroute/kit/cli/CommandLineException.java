package wheelroute.kit.cli;

/** Thrown if an argument or the file that it names cannot be used; the message names it. */
final class CommandLineException extends Exception {
    private static final long serialVersionUID = 1L;

    CommandLineException(String message) {
        super(message);
    }
}
