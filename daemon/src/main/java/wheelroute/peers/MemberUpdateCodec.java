package wheelroute.peers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes and decodes a {@link MemberUpdate} as part of a message. */
final class MemberUpdateCodec {
    private static final int MAX_PORT = 0xffff;
    private static final char FIRST_NAME_CHARACTER = '!';
    private static final char LAST_NAME_CHARACTER = '~';
    private static final MemberUpdate.State[] STATES = MemberUpdate.State.values();

    /** Size of the name's length, host, port, incarnation, state and suspectedBy. */
    private static final int FIXED_BYTES =
            Byte.BYTES + Integer.BYTES + Short.BYTES + Long.BYTES + Byte.BYTES + Integer.BYTES;

    private MemberUpdateCodec() {}

    /** Returns the size of the encoded update in bytes. */
    static int size(MemberUpdate update) {
        return FIXED_BYTES + nameBytes(update).length;
    }

    /** Appends an update to a buffer, which must have {@link #size} bytes remaining. */
    static void write(ByteBuffer out, MemberUpdate update) {
        byte[] name = nameBytes(update);
        out.put((byte) name.length)
                .put(name)
                .putInt(update.address().host())
                .putShort((short) update.address().port())
                .putLong(update.incarnation())
                .put((byte) update.state().ordinal())
                .putInt(update.suspectedBy());
    }

    /**
     * Reads an update from the buffer's position on.
     *
     * @throws MalformedMessageException if a field is out of its range
     * @throws java.nio.BufferUnderflowException if the buffer ends within the update
     */
    static MemberUpdate read(ByteBuffer in) throws MalformedMessageException {
        PeerId id = readId(in);
        MemberAddress address = new MemberAddress(in.getInt(), in.getShort() & MAX_PORT);
        long incarnation = in.getLong();
        int state = in.get();
        if (state < 0 || state >= STATES.length || incarnation < 0) {
            throw new MalformedMessageException(
                    "invalid member state " + state + " or incarnation " + incarnation);
        }
        return new MemberUpdate(id, address, incarnation, STATES[state], in.getInt());
    }

    private static PeerId readId(ByteBuffer in) throws MalformedMessageException {
        int length = in.get();
        if (length < 1 || length > PeerId.MAX_NAME_BYTES || length > in.remaining()) {
            throw new MalformedMessageException(
                    "invalid length of a member name: " + length + " bytes");
        }
        byte[] name = new byte[length];
        in.get(name);
        for (byte character : name) {
            if (character < FIRST_NAME_CHARACTER || character > LAST_NAME_CHARACTER) {
                throw new MalformedMessageException(
                        "invalid character in a member name: code " + character);
            }
        }
        return new PeerId(new String(name, StandardCharsets.US_ASCII));
    }

    private static byte[] nameBytes(MemberUpdate update) {
        return update.id().name().getBytes(StandardCharsets.UTF_8);
    }
}
