package wheelroute.peers;

/**
 * The UDP address of a member.
 *
 * @param host IPv4 address with the first octet in the most significant byte
 * @param port UDP port, from 0 to 65535
 */
public record MemberAddress(int host, int port) {
    private static final int OCTET_MASK = 0xff;

    /** Returns the address in the form 127.0.0.1:9000. */
    @Override
    public String toString() {
        return (host >>> 24 & OCTET_MASK)
                + "."
                + (host >>> 16 & OCTET_MASK)
                + "."
                + (host >>> 8 & OCTET_MASK)
                + "."
                + (host & OCTET_MASK)
                + ":"
                + port;
    }
}
