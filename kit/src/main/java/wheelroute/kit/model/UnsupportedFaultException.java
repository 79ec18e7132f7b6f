package wheelroute.kit.model;

/** A scenario has a fault that this kind of run cannot inject. */
public final class UnsupportedFaultException extends UnsupportedOperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param fault what cannot be injected
     */
    public UnsupportedFaultException(String fault) {
        super("this run cannot inject: " + fault);
    }
}
