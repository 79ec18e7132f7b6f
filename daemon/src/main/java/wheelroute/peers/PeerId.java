package wheelroute.peers;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** The name of a dispatcher, unique in its cluster and unchanged by a restart. */
public record PeerId(String name) implements Comparable<PeerId> {
    /** Maximum length of a name, limited so that a datagram can hold several updates. */
    public static final int MAX_NAME_BYTES = 40;

    /**
     * Returns a hash of the name that is enough to distinguish a few members. The hash is part of
     * the wire format.
     */
    int shortHash() {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    @Override
    public int compareTo(PeerId other) {
        return name.compareTo(other.name);
    }

    /** Returns the name. */
    @Override
    public String toString() {
        return name;
    }
}
