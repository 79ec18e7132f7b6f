package wheelroute.net.handover;

/** The messages between two processes of one dispatcher, with their names on the wire. */
enum MessageType {
    /** The first message, with the dispatcher's name; older versions send no name. */
    GREETING("wheelroute-handover"),
    /** A request is open; with the client's id of it. */
    REQUEST_OPENED("open"),
    /** A request is not open any more; with the client's id of it. */
    REQUEST_CLOSED("over"),
    /** How many processes the receiver cannot see behind the sender. */
    PROCESSES_BEHIND("beyond"),
    /** The sender accepts clients. */
    SERVING("serving"),
    /** To a successor: the endpoint list, as discovery sends it. */
    ENDPOINTS("list"),
    /** To a successor: what the policy has learned, as JSON. */
    LEARNED_STATE("learned"),
    /** To a successor: all that is to be transferred has been sent. */
    TRANSFER_COMPLETE("told"),
    /** Of another version. */
    UNKNOWN("");

    private final String wireName;

    MessageType(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }

    static MessageType ofWireName(String name) {
        for (MessageType type : values()) {
            if (type.wireName.equals(name)) {
                return type;
            }
        }
        return UNKNOWN;
    }
}
