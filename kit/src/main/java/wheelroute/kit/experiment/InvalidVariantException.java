package wheelroute.kit.experiment;

/** The text of a variant cannot be used; the message names the variant and the fault. */
public final class InvalidVariantException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidVariantException(String message) {
        super(message);
    }
}
