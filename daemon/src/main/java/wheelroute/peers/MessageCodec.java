package wheelroute.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Encodes and decodes messages as datagrams of at most {@link #MAX_DATAGRAM_BYTES} bytes. A
 * datagram consists of a magic number with a version, the type code, cluster, sequence number,
 * digest and sender, the fields of the message type, the number of membership updates, the updates,
 * and a CRC-32 of all preceding bytes. Integers are big-endian.
 */
public final class MessageCodec {
    /** Maximum size of a datagram, given by the platform. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    private static final int MAGIC = 0x77720000;
    private static final int VERSION = 1;
    private static final int CHECKSUM_BYTES = Integer.BYTES;

    private MessageCodec() {}

    /**
     * Encodes a message with as many of its updates as fit, starting with the first. A message
     * without updates always fits.
     */
    public static ByteBuffer encode(Message message) {
        MessageHeader header = message.header();
        ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        out.putInt(MAGIC | VERSION);
        out.put((byte) message.type().code());
        out.putInt(header.cluster());
        out.putInt(message.sequenceNumber());
        out.putInt(header.digest());
        MemberUpdateCodec.write(out, header.sender());
        writeBody(out, message);
        writeUpdates(out, header.updates());
        out.putInt(checksum(out.array(), out.position()));
        return out.flip();
    }

    private static void writeBody(ByteBuffer out, Message message) {
        if (message instanceof Message.PingRequest request) {
            writeOptional(out, request.target());
        } else if (message instanceof Message.SyncRequest request) {
            writeOptional(out, request.after());
        } else if (message instanceof Message.SyncPage page) {
            writeOptional(out, page.last());
        } else if (message instanceof Message.LeaseMessage lease) {
            out.putInt(lease.terms().share());
            out.putLong(lease.terms().incarnation());
        }
    }

    private static void writeOptional(ByteBuffer out, MemberUpdate update) {
        out.put((byte) (update == null ? 0 : 1));
        if (update != null) {
            MemberUpdateCodec.write(out, update);
        }
    }

    private static void writeUpdates(ByteBuffer out, List<MemberUpdate> updates) {
        int countPosition = out.position();
        out.put((byte) 0);
        int count = 0;
        for (MemberUpdate update : updates) {
            if (MemberUpdateCodec.size(update) > out.remaining() - CHECKSUM_BYTES) {
                break;
            }
            MemberUpdateCodec.write(out, update);
            count++;
        }
        out.put(countPosition, (byte) count);
    }

    /**
     * Returns how many of the updates, starting with the first, fit into one datagram with a
     * message.
     *
     * @param withoutUpdates the message with no updates in its header
     */
    public static int countFitting(Message withoutUpdates, List<MemberUpdate> updates) {
        int remaining = MAX_DATAGRAM_BYTES - encode(withoutUpdates).remaining();
        int count = 0;
        for (MemberUpdate update : updates) {
            remaining -= MemberUpdateCodec.size(update);
            if (remaining < 0) {
                break;
            }
            count++;
        }
        return count;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /**
     * Decodes one complete datagram.
     *
     * @throws MalformedMessageException if the bytes are not a valid message; no other exception is
     *     thrown for any sequence of bytes
     */
    public static Message decode(ByteBuffer in) throws MalformedMessageException {
        if (in.remaining() > MAX_DATAGRAM_BYTES || in.remaining() <= CHECKSUM_BYTES) {
            throw new MalformedMessageException(
                    "invalid datagram size: " + in.remaining() + " bytes");
        }
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        int length = bytes.length - CHECKSUM_BYTES;
        ByteBuffer datagram = ByteBuffer.wrap(bytes);
        if (datagram.getInt(length) != checksum(bytes, length)) {
            throw new MalformedMessageException("checksum mismatch");
        }
        datagram.limit(length);
        try {
            return read(datagram);
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("datagram ends within a field");
        }
    }

    private static Message read(ByteBuffer in) throws MalformedMessageException {
        if (in.getInt() != (MAGIC | VERSION)) {
            throw new MalformedMessageException("unexpected magic number or version");
        }
        int code = in.get();
        MessageType type = MessageType.ofCode(code);
        if (type == null) {
            throw new MalformedMessageException("unknown type code " + code);
        }
        int cluster = in.getInt();
        int sequenceNumber = in.getInt();
        int digest = in.getInt();
        MemberUpdate sender = MemberUpdateCodec.read(in);
        MessageHeader header = new MessageHeader(cluster, sender, digest, List.of());
        Message message = readBody(in, type, header, sequenceNumber);
        List<MemberUpdate> updates = readUpdates(in);
        if (in.hasRemaining()) {
            throw new MalformedMessageException(
                    "trailing bytes after the message: " + in.remaining());
        }
        return message.withUpdates(updates);
    }

    private static Message readBody(
            ByteBuffer in, MessageType type, MessageHeader header, int sequenceNumber)
            throws MalformedMessageException {
        return switch (type) {
            case PING -> new Message.Ping(header, sequenceNumber);
            case ACK -> new Message.Ack(header, sequenceNumber);
            case PING_REQUEST -> new Message.PingRequest(header, sequenceNumber, readRequired(in));
            case NACK -> new Message.Nack(header, sequenceNumber);
            case SYNC_REQUEST -> new Message.SyncRequest(header, sequenceNumber, readOptional(in));
            case SYNC_PAGE -> new Message.SyncPage(header, sequenceNumber, readOptional(in));
            case LEASE_REQUEST -> new Message.LeaseRequest(header, sequenceNumber, readTerms(in));
            case LEASE_GRANT -> new Message.LeaseGrant(header, sequenceNumber, readTerms(in));
            case LEASE_RELEASE -> new Message.LeaseRelease(header, sequenceNumber, readTerms(in));
        };
    }

    private static LeaseTerms readTerms(ByteBuffer in) {
        return new LeaseTerms(in.getInt(), in.getLong());
    }

    private static MemberUpdate readRequired(ByteBuffer in) throws MalformedMessageException {
        MemberUpdate update = readOptional(in);
        if (update == null) {
            throw new MalformedMessageException("ping request without a target");
        }
        return update;
    }

    private static MemberUpdate readOptional(ByteBuffer in) throws MalformedMessageException {
        int present = in.get();
        if (present != 0 && present != 1) {
            throw new MalformedMessageException(
                    "invalid presence flag " + present + ", expected 0 or 1");
        }
        return present == 1 ? MemberUpdateCodec.read(in) : null;
    }

    private static List<MemberUpdate> readUpdates(ByteBuffer in) throws MalformedMessageException {
        int count = in.get();
        if (count < 0) {
            throw new MalformedMessageException("negative number of updates: " + count);
        }
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            updates.add(MemberUpdateCodec.read(in));
        }
        return updates;
    }
}
