package wheelroute.peers;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;
import org.quicktheories.QuickTheory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Property tests of the codec. {@link MessageCodecWireFormatTest} checks the literal bytes. */
public class MessageCodecTest {
    private static final long SEED = 1;
    private static final int EXAMPLES = 3_000;
    private static final int CHECKSUM_BYTES = 4;
    private static final int TYPES = MessageType.values().length;
    private static final MemberUpdate SELF = update(0, 3);

    private static QuickTheory quickTheory() {
        return qt().withFixedSeed(SEED).withExamples(EXAMPLES).withShrinkCycles(0);
    }

    private static MemberUpdate update(int number, int nameLength) {
        MemberUpdate.State[] states = MemberUpdate.State.values();
        return new MemberUpdate(
                new PeerId("n".repeat(nameLength) + number % 7),
                new MemberAddress(0x7f000001, number & 0xffff),
                (long) number << 20,
                states[number % states.length],
                number * 31);
    }

    private static Message message(int typeCode, int number, int updateCount) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < updateCount; i++) {
            updates.add(update(number + i, 1 + (number + i) % (PeerId.MAX_NAME_BYTES - 1)));
        }
        MessageHeader header = new MessageHeader(5, SELF, -number, updates);
        MemberUpdate target = update(number, PeerId.MAX_NAME_BYTES - 1);
        MemberUpdate optional = number % 2 == 0 ? null : target;
        LeaseTerms terms = new LeaseTerms(number, number * 7L);
        return switch (MessageType.values()[typeCode]) {
            case PING -> new Message.Ping(header, number);
            case ACK -> new Message.Ack(header, number);
            case PING_REQUEST -> new Message.PingRequest(header, number, target);
            case NACK -> new Message.Nack(header, number);
            case SYNC_REQUEST -> new Message.SyncRequest(header, number, optional);
            case SYNC_PAGE -> new Message.SyncPage(header, number, optional);
            case LEASE_REQUEST -> new Message.LeaseRequest(header, number, terms);
            case LEASE_GRANT -> new Message.LeaseGrant(header, number, terms);
            case LEASE_RELEASE -> new Message.LeaseRelease(header, number, terms);
        };
    }

    @Test
    public void decodesEncodedMessageWithTheUpdatesThatFit() {
        quickTheory()
                .forAll(
                        integers().between(0, TYPES - 1),
                        integers().between(0, 1_000_000),
                        integers().between(0, 30))
                .checkAssert(
                        (type, number, updateCount) -> {
                            Message sent = message(type, number, updateCount);
                            ByteBuffer bytes = MessageCodec.encode(sent);
                            assertEquals(
                                    bytes.remaining() <= MessageCodec.MAX_DATAGRAM_BYTES, true);
                            int fitting =
                                    MessageCodec.countFitting(
                                            sent.withUpdates(List.of()), sent.header().updates());
                            try {
                                assertEquals(
                                        MessageCodec.decode(bytes),
                                        sent.withUpdates(
                                                sent.header().updates().subList(0, fitting)));
                            } catch (MalformedMessageException e) {
                                throw new AssertionError(e);
                            }
                        });
    }

    private static void decodeOrReject(byte[] bytes) {
        try {
            MessageCodec.decode(ByteBuffer.wrap(bytes));
        } catch (MalformedMessageException e) {
            assertEquals(
                    e.getStackTrace().length,
                    0,
                    "rejections must be cheap and so have no stack trace");
        }
    }

    /** Random bytes, with and without a valid checksum, cause no unexpected exception. */
    @Test
    public void decodesOrRejectsRandomBytes() {
        quickTheory()
                .forAll(lists().of(integers().between(-128, 127)).ofSizeBetween(0, 300))
                .checkAssert(
                        list -> {
                            byte[] bytes = new byte[list.size()];
                            for (int i = 0; i < bytes.length; i++) {
                                bytes[i] = list.get(i).byteValue();
                            }
                            decodeOrReject(bytes);
                            decodeOrReject(withChecksum(bytes));
                        });
    }

    /**
     * Datagrams with a changed byte and possibly a missing end, with and without a valid checksum,
     * cause no unexpected exception.
     */
    @Test
    public void decodesOrRejectsDamagedDatagrams() {
        quickTheory()
                .forAll(
                        integers().between(0, TYPES - 1),
                        integers().between(0, 255),
                        integers().between(-128, 127),
                        integers().between(0, 5))
                .checkAssert(
                        (type, position, value, cut) -> {
                            ByteBuffer out = MessageCodec.encode(message(type, 1000 + position, 3));
                            byte[] bytes =
                                    new byte[Math.max(CHECKSUM_BYTES, out.remaining() - cut)];
                            out.get(bytes);
                            bytes[position % bytes.length] = value.byteValue();
                            decodeOrReject(bytes);
                            decodeOrReject(withChecksum(bytes));
                        });
    }

    private static byte[] withChecksum(byte[] bytes) {
        if (bytes.length >= CHECKSUM_BYTES) {
            CRC32 crc = new CRC32();
            crc.update(bytes, 0, bytes.length - CHECKSUM_BYTES);
            ByteBuffer.wrap(bytes).putInt(bytes.length - CHECKSUM_BYTES, (int) crc.getValue());
        }
        return bytes;
    }

    @DataProvider
    public Object[][] rejectedDatagrams() {
        byte[] valid = MessageCodec.encode(message(0, 7, 1)).array();
        int size = MessageCodec.encode(message(0, 7, 1)).remaining();
        return new Object[][] {
            // Each row has a byte position, the new byte, a part of the error message, the datagram
            // and the datagram's size.
            {0, 0, "magic number", valid, size},
            {3, 2, "magic number or version", valid, size},
            {4, 77, "unknown type code 77", valid, size},
            {4, -1, "unknown type code -1", valid, size},
            {17, 0, "length of a member name: 0", valid, size},
            {17, 41, "length of a member name: 41", valid, size},
            {18, 32, "character in a member name", valid, size},
            {size - CHECKSUM_BYTES - 5, 9, "member state", valid, size},
        };
    }

    @Test(dataProvider = "rejectedDatagrams")
    public void rejectsMalformedDatagramWithItsReason(
            int position, int value, String reason, byte[] bytes, int size) {
        byte[] changed = Arrays.copyOf(bytes, size);
        changed[position] = (byte) value;
        MalformedMessageException e =
                expectThrows(
                        MalformedMessageException.class,
                        () -> MessageCodec.decode(ByteBuffer.wrap(withChecksum(changed))));
        assertEquals(e.getMessage().contains(reason), true, e.getMessage());
    }
}
