package wheelroute.peers;

/**
 * Where a member is reached.
 *
 * @param host IPv4 address, the first octet in the highest byte
 * @param port UDP port, from 0 to 65535
 */
public record MemberAddress(int host, int port) {
    private static final int BYTE = 0xff;

    /** The usual form, as in 127.0.0.1:9000. */
    @Override
    public String toString() {
        return (host >>> 24 & BYTE)
                + "."
                + (host >>> 16 & BYTE)
                + "."
                + (host >>> 8 & BYTE)
                + "."
                + (host & BYTE)
                + ":"
                + port;
    }
}
