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
    /** The attempts of a request by its id, which older versions send; ignored. */
    ATTEMPTS_ENDED("ran"),
    /** A request that must not run twice has been opened; the body is its identity as JSON. */
    KEY_OPENED("key-open"),
    /** A request that must not run twice is no longer open; the body is its identity. */
    KEY_CLOSED("key-over"),
    /**
     * The first attempt of a request that must not run twice is about to be sent; the body is the
     * attempt as JSON.
     */
    ATTEMPT_STARTING("sends"),
    /** No attempt of a request that was announced has run; the body is its identity. */
    NEVER_RAN("never-ran"),
    /** A part of the attempt history, as JSON; sent to a successor. */
    ATTEMPT_HISTORY("history"),
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
