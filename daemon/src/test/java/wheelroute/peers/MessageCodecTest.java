package wheelroute.peers;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import org.quicktheories.QuickTheory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Datagrams: what goes out comes back the same, and whatever comes in, nothing but a message or a
 * no does.
 */
public class MessageCodecTest {
    private static final long SEED = 1;
    private static final int TRIES = 3_000;
    private static final int CHECKSUM = 4;
    private static final int KINDS = Message.Kind.values().length;
    private static final MemberUpdate SELF = sighting(0, 3);

    private static QuickTheory fixed() {
        return qt().withFixedSeed(SEED).withExamples(TRIES).withShrinkCycles(0);
    }

    private static MemberUpdate sighting(int number, int nameLength) {
        MemberUpdate.State[] states = MemberUpdate.State.values();
        return new MemberUpdate(
                new PeerId("n".repeat(nameLength) + number % 7),
                new MemberAddress(0x7f000001, number & 0xffff),
                (long) number << 20,
                states[number % states.length],
                number * 31);
    }

    private static Message message(int kindAt, int number, int names) {
        Message.Kind kind = Message.Kind.values()[kindAt];
        List<MemberUpdate> news = new ArrayList<>();
        for (int i = 0; i < names; i++) {
            news.add(sighting(number + i, 1 + (number + i) % (PeerId.MOST_BYTES - 1)));
        }
        boolean endOfPages = kind != Message.Kind.PING_REQUEST && number % 2 == 0;
        return new Message(
                kind,
                5,
                SELF,
                number,
                -number,
                kind.hasTarget() && !endOfPages ? sighting(number, PeerId.MOST_BYTES - 1) : null,
                kind.hasLease() ? new Message.LeaseTerms(number, number * 7L) : null,
                news);
    }

    /**
     * The bound holds whatever is said, and what fits of the news comes back, from its beginning.
     */
    @Test
    public void whatGoesOutComesBack() {
        fixed().forAll(
                        integers().between(0, KINDS - 1),
                        integers().between(0, 1_000_000),
                        integers().between(0, 30))
                .checkAssert(
                        (kind, number, names) -> {
                            Message sent = message(kind, number, names);
                            ByteBuffer bytes = MessageCodec.encode(sent);
                            assertEquals(bytes.remaining() <= MessageCodec.MOST_BYTES, true);
                            int fitting =
                                    MessageCodec.fitting(sent.with(List.of()), sent.updates());
                            try {
                                assertEquals(
                                        MessageCodec.decode(bytes),
                                        sent.with(sent.updates().subList(0, fitting)));
                            } catch (MalformedMessageException e) {
                                throw new AssertionError(e);
                            }
                        });
    }

    private static void reads(byte[] bytes) {
        try {
            MessageCodec.decode(ByteBuffer.wrap(bytes));
        } catch (MalformedMessageException e) {
            assertEquals(e.getStackTrace().length, 0, "a flood of these must cost little");
        }
    }

    /**
     * Noise, and noise under a true checksum, which is all that a liar needs: read or refused, no
     * other end.
     */
    @Test
    public void noiseIsReadOrRefused() {
        fixed().forAll(lists().of(integers().between(-128, 127)).ofSizeBetween(0, 300))
                .checkAssert(
                        list -> {
                            byte[] bytes = new byte[list.size()];
                            for (int i = 0; i < bytes.length; i++) {
                                bytes[i] = list.get(i).byteValue();
                            }
                            reads(bytes);
                            reads(sealed(bytes));
                        });
    }

    /** Any byte of a true datagram changed, cut off or doubled, and sealed again. */
    @Test
    public void whatIsNearlyTrueIsReadOrRefused() {
        fixed().forAll(
                        integers().between(0, KINDS - 1),
                        integers().between(0, 255),
                        integers().between(-128, 127),
                        integers().between(0, 5))
                .checkAssert(
                        (kind, at, value, cut) -> {
                            ByteBuffer out = MessageCodec.encode(message(kind, 1000 + at, 3));
                            byte[] bytes = new byte[Math.max(CHECKSUM, out.remaining() - cut)];
                            out.get(bytes);
                            bytes[at % bytes.length] = value.byteValue();
                            reads(bytes);
                            reads(sealed(bytes));
                        });
    }

    private static byte[] sealed(byte[] bytes) {
        if (bytes.length >= CHECKSUM) {
            CRC32 crc = new CRC32();
            crc.update(bytes, 0, bytes.length - CHECKSUM);
            ByteBuffer.wrap(bytes).putInt(bytes.length - CHECKSUM, (int) crc.getValue());
        }
        return bytes;
    }

    @DataProvider
    public Object[][] refused() {
        byte[] true_ = MessageCodec.encode(message(0, 7, 1)).array();
        int size = MessageCodec.encode(message(0, 7, 1)).remaining();
        return new Object[][] {
            // which byte, its value, what is told
            {0, 0, "mark", true_, size},
            {3, 2, "mark or version", true_, size},
            {4, 77, "its kind 77", true_, size},
            {4, -1, "its kind -1", true_, size},
            {17, 0, "a name", true_, size},
            {17, 41, "a name", true_, size},
            {18, 32, "a name", true_, size},
            {size - CHECKSUM - 5, 9, "a state", true_, size},
        };
    }

    @Test(dataProvider = "refused")
    public void whatIsRefusedIsNamed(int at, int value, String told, byte[] bytes, int size) {
        byte[] changed = java.util.Arrays.copyOf(bytes, size);
        changed[at] = (byte) value;
        MalformedMessageException e =
                expectThrows(
                        MalformedMessageException.class,
                        () -> MessageCodec.decode(ByteBuffer.wrap(sealed(changed))));
        assertEquals(e.getMessage().contains(told), true, e.getMessage());
    }
}
