package wheelroute.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Datagrams of at most 256 bytes: a mark and a version, the kind, the message's own fields, as much
 * news as fits, and a checksum. What is not exactly so is no datagram of ours.
 */
public final class MessageCodec {
    /** The platform's bound on a datagram between dispatchers. */
    public static final int MOST_BYTES = 256;

    private static final int MARK = 0x77720000;
    private static final int VERSION = 1;
    private static final int CHECKSUM = Integer.BYTES;
    private static final int COUNT = 1;
    private static final int MOST_PORT = 0xffff;
    private static final Message.Kind[] KINDS = Message.Kind.values();
    private static final MemberUpdate.State[] STATES = MemberUpdate.State.values();

    private MessageCodec() {}

    /** As much of the news as fits, from its beginning; the message without news always does. */
    public static ByteBuffer encode(Message message) {
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        out.putInt(MARK | VERSION);
        out.put((byte) message.kind().ordinal());
        out.putInt(message.cluster());
        out.putInt(message.number());
        out.putInt(message.digest());
        put(out, message.from());
        if (message.kind().hasTarget()) {
            out.put((byte) (message.target() == null ? 0 : 1));
            if (message.target() != null) {
                put(out, message.target());
            }
        }
        if (message.kind().hasLease()) {
            out.putInt(message.lease().share());
            out.putLong(message.lease().incarnation());
        }
        int countAt = out.position();
        out.put((byte) 0);
        int count = 0;
        for (MemberUpdate sighting : message.updates()) {
            if (size(sighting) > out.remaining() - CHECKSUM) {
                break;
            }
            put(out, sighting);
            count++;
        }
        out.put(countAt, (byte) count);
        out.putInt(checksum(out.array(), out.position()));
        return out.flip();
    }

    /** How many of these would go with a message that says so much else. */
    public static int fitting(Message without, List<MemberUpdate> news) {
        int left = MOST_BYTES - encode(without).remaining();
        int count = 0;
        for (MemberUpdate sighting : news) {
            left -= size(sighting);
            if (left < 0) {
                break;
            }
            count++;
        }
        return count;
    }

    private static int size(MemberUpdate sighting) {
        return COUNT
                + sighting.id().name().getBytes(StandardCharsets.UTF_8).length
                + Integer.BYTES
                + Short.BYTES
                + Long.BYTES
                + COUNT
                + Integer.BYTES;
    }

    private static void put(ByteBuffer out, MemberUpdate sighting) {
        byte[] name = sighting.id().name().getBytes(StandardCharsets.UTF_8);
        out.put((byte) name.length)
                .put(name)
                .putInt(sighting.address().host())
                .putShort((short) sighting.address().port())
                .putLong(sighting.incarnation())
                .put((byte) sighting.state().ordinal())
                .putInt(sighting.suspectedBy());
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** Reads one whole datagram; whatever the bytes, it ends at once and throws nothing else. */
    public static Message decode(ByteBuffer in) throws MalformedMessageException {
        if (in.remaining() > MOST_BYTES || in.remaining() <= CHECKSUM) {
            throw new MalformedMessageException("a size of " + in.remaining());
        }
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        ByteBuffer whole = ByteBuffer.wrap(bytes);
        if (whole.getInt(bytes.length - CHECKSUM) != checksum(bytes, bytes.length - CHECKSUM)) {
            throw new MalformedMessageException("its checksum");
        }
        whole.limit(bytes.length - CHECKSUM);
        try {
            return read(whole);
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("it ends early");
        }
    }

    private static Message read(ByteBuffer in) throws MalformedMessageException {
        if (in.getInt() != (MARK | VERSION)) {
            throw new MalformedMessageException("its mark or version");
        }
        int kindAt = in.get();
        if (kindAt < 0 || kindAt >= KINDS.length) {
            throw new MalformedMessageException("its kind " + kindAt);
        }
        Message.Kind kind = KINDS[kindAt];
        int cluster = in.getInt();
        int number = in.getInt();
        int digest = in.getInt();
        MemberUpdate from = sighting(in);
        MemberUpdate target = null;
        if (kind.hasTarget()) {
            int has = in.get();
            if ((has != 0 && has != 1) || (has == 0 && kind == Message.Kind.PING_REQUEST)) {
                throw new MalformedMessageException("its target");
            }
            target = has == 1 ? sighting(in) : null;
        }
        Message.LeaseTerms lease =
                kind.hasLease() ? new Message.LeaseTerms(in.getInt(), in.getLong()) : null;
        int count = in.get();
        if (count < 0) {
            throw new MalformedMessageException("its news");
        }
        List<MemberUpdate> news = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            news.add(sighting(in));
        }
        if (in.hasRemaining()) {
            throw new MalformedMessageException("it goes on after its end");
        }
        return new Message(kind, cluster, from, number, digest, target, lease, news);
    }

    private static MemberUpdate sighting(ByteBuffer in) throws MalformedMessageException {
        int length = in.get();
        if (length < 1 || length > PeerId.MOST_BYTES || length > in.remaining()) {
            throw new MalformedMessageException("a name");
        }
        byte[] name = new byte[length];
        in.get(name);
        for (byte b : name) {
            if (b <= ' ' || b > '~') {
                throw new MalformedMessageException("a name");
            }
        }
        MemberAddress place = new MemberAddress(in.getInt(), in.getShort() & MOST_PORT);
        long life = in.getLong();
        int state = in.get();
        if (state < 0 || state >= STATES.length || life < 0) {
            throw new MalformedMessageException("a state");
        }
        return new MemberUpdate(
                new PeerId(new String(name, StandardCharsets.US_ASCII)),
                place,
                life,
                STATES[state],
                in.getInt());
    }
}
