package wheelroute.peers;

/** Types of messages. Their order determines their codes and is part of the wire format. */
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

    /** Returns the code of this type in datagrams. */
    int code() {
        return ordinal();
    }

    /** Returns the type with a given code; null if there is none. */
    static MessageType ofCode(int code) {
        return code >= 0 && code < BY_CODE.length ? BY_CODE[code] : null;
    }
}
