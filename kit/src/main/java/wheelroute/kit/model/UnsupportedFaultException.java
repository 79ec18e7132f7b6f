package wheelroute.kit.model;

/** Thrown when a scenario has a fault that this kind of run cannot inject. */
public final class UnsupportedFaultException extends UnsupportedOperationException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for one fault.
     *
     * @param fault the description of the fault, which is added to the message
     */
    public UnsupportedFaultException(String fault) {
        super("fault not supported by this kind of run: " + fault);
    }
}
