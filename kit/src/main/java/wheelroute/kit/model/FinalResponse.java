package wheelroute.kit.model;

/** What a client hears in the end. */
public enum FinalResponse {
    FULFILLED,
    BOUNCED,
    SCRAPPED
}
