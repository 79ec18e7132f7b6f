package wheelroute.kit.model;

/** The final response of a dispatcher to a client's request. */
public enum FinalResponse {
    SUCCEEDED("succeeded"),
    REJECTED("rejected"),
    FAILED("failed");

    private final String label;

    FinalResponse(String label) {
        this.label = label;
    }

    /** Returns the text for the response in request histories. */
    public String label() {
        return label;
    }
}
