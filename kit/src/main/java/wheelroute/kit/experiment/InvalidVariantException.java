package wheelroute.kit.experiment;

/** Thrown if the text of a variant is invalid; the message names the variant and the error. */
public final class InvalidVariantException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidVariantException(String message) {
        super(message);
    }
}
