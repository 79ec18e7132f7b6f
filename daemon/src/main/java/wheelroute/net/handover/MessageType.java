package wheelroute.net.handover;

/** The messages between two processes of one dispatcher, with their names on the wire. */
enum MessageType {
    /** The first message, with the dispatcher's name; older versions send no name. */
    GREETING("wheelroute-handover"),
    /** A request has been opened; the body is its client-given id. */
    REQUEST_OPENED("open"),
    /** A request is no longer open; the body is its client-given id. */
    REQUEST_CLOSED("over"),
    /** The number of processes behind the sender, to which the receiver is not connected. */
    PROCESSES_BEHIND("beyond"),
    /** The sender accepts clients. */
    SERVING("serving"),
    /** To a successor: the endpoint list, in discovery's format. */
    ENDPOINTS("list"),
    /** To a successor: what the policy has learned, as JSON. */
    LEARNED_STATE("learned"),
    /** To a successor: the state has been sent completely. */
    TRANSFER_COMPLETE("told"),
    /** A message that this version does not know. */
    UNKNOWN("");

    private final String wireName;

    MessageType(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }

    /** Returns the type of this name, or {@link #UNKNOWN}. */
    static MessageType ofWireName(String name) {
        for (MessageType type : values()) {
            if (type.wireName.equals(name)) {
                return type;
            }
        }
        return UNKNOWN;
    }
}
