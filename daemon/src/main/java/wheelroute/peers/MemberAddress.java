package wheelroute.peers;

/** An IPv4 address and a port. */
public record MemberAddress(int host, int port) {
    private static final int BYTE = 0xff;

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
