package wheelroute.peers;

/** Type codes of the messages; a code on the wire is the position in this enum. */
public enum MessageType {
    PING,
    ACK,
    PING_REQUEST,
    NACK,
    SYNC_REQUEST,
    SYNC_PAGE,
    LEASE_REQUEST,
    LEASE_GRANT,
    LEASE_RELEASE;

    private static final MessageType[] BY_CODE = values();

    /** The code on the wire. */
    int code() {
        return ordinal();
    }

    /** The type with this code; null if there is none. */
    static MessageType ofCode(int code) {
        return code >= 0 && code < BY_CODE.length ? BY_CODE[code] : null;
    }
}
