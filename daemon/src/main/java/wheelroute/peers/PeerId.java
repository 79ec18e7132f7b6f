package wheelroute.peers;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** A dispatcher's name, the same after a restart. */
public record PeerId(String name) implements Comparable<PeerId> {
    /** In a datagram it takes so much at most, and there must be room for others. */
    public static final int MOST_BYTES = 40;

    /** Short, for who only has to be told apart from a few others. */
    int mark() {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    @Override
    public int compareTo(PeerId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
