package wheelroute.kit.process;

/** A run that cannot begin or go on; the message says why. */
public final class RehearsalException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes an exception for a run that cannot go on. */
    public RehearsalException(String why) {
        super(why);
    }
}
