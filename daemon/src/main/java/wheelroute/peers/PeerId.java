package wheelroute.peers;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** A dispatcher's name, unique in its cluster and the same after a restart. Ordered by name. */
public record PeerId(String name) implements Comparable<PeerId> {
    /** Longest name in bytes, so that a datagram holds several. */
    public static final int MAX_NAME_BYTES = 40;

    /** A hash that tells a few members from each other; part of the wire format. */
    int shortHash() {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    @Override
    public int compareTo(PeerId other) {
        return name.compareTo(other.name);
    }

    /** The bare name. */
    @Override
    public String toString() {
        return name;
    }
}
