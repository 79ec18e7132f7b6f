package wheelroute.kit.world;

/** What a client hears in the end. */
public enum Answer {
    FULFILLED,
    BOUNCED,
    SCRAPPED
}
