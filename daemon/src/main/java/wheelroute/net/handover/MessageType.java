package wheelroute.net.handover;

/** The types of messages between two processes of a dispatcher, with their names on the wire. */
enum MessageType {
    /**
     * The first message on a connection. The body is the dispatcher's name; older versions send no
     * name.
     */
    GREETING("wheelroute-handover"),
    /** A request has been opened; the body is its client-given id. */
    REQUEST_OPENED("open"),
    /** A request is no longer open; the body is its client-given id. */
    REQUEST_CLOSED("over"),
    /**
     * The attempts that may have run of a request that is no longer open, as JSON. Sent before
     * {@link #REQUEST_CLOSED}, so that the receiver knows the request at any time.
     */
    ATTEMPTS_ENDED("ran"),
    /**
     * The number of processes on the far side of the sender, to which the receiver is not
     * connected.
     */
    PROCESSES_BEHIND("beyond"),
    /** The sender accepts clients. */
    SERVING("serving"),
    /** The endpoint list in discovery's format; sent to a successor. */
    ENDPOINTS("list"),
    /** The state that the policy has learned, as JSON; sent to a successor. */
    LEARNED_STATE("learned"),
    /** All state has been sent; sent to a successor. */
    TRANSFER_COMPLETE("told"),
    /** A message whose type this version does not know. */
    UNKNOWN("");

    private final String wireName;

    MessageType(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }

    /** Returns the type with this name on the wire, or {@link #UNKNOWN}. */
    static MessageType ofWireName(String name) {
        for (MessageType type : values()) {
            if (type.wireName.equals(name)) {
                return type;
            }
        }
        return UNKNOWN;
    }
}
