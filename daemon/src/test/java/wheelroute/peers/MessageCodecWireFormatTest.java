package wheelroute.peers;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks the literal bytes of each type of datagram. Processes of different releases exchange
 * datagrams during a deployment, so the bytes must not change within a version of the wire format.
 */
public class MessageCodecWireFormatTest {
    private static final String PREFIX = "77720001";
    private static final String ADDRESSING = "00000005" + "11223344" + "55667788";
    private static final String SENDER =
            "04" + "6c622d30" + "7f000001" + "2328" + "0000018bcfe5687b" + "00" + "00000000";
    private static final String SUSPECTED =
            "04" + "6c622d31" + "00000000" + "0001" + "0000000000000007" + "01" + "01020304";
    private static final String DEAD =
            "05" + "6c622d3232" + "0a0b0c0d" + "ffff" + "0000010000000000" + "02" + "fffffffe";
    private static final String LEASE = "00000003" + "0102030405060708";

    private static final int CLUSTER = 5;
    private static final int NUMBER = 0x11223344;
    private static final int DIGEST = 0x55667788;

    private static final MemberUpdate SENDER_UPDATE =
            new MemberUpdate(
                    new PeerId("lb-0"),
                    new MemberAddress(0x7f000001, 9000),
                    1_700_000_000_123L,
                    MemberUpdate.State.ALIVE,
                    0);
    private static final MemberUpdate SUSPECTED_UPDATE =
            new MemberUpdate(
                    new PeerId("lb-1"),
                    new MemberAddress(0, 1),
                    7,
                    MemberUpdate.State.SUSPECT,
                    0x01020304);
    private static final MemberUpdate DEAD_UPDATE =
            new MemberUpdate(
                    new PeerId("lb-22"),
                    new MemberAddress(0x0a0b0c0d, 65535),
                    1L << 40,
                    MemberUpdate.State.DEAD,
                    -2);
    private static final LeaseTerms TERMS = new LeaseTerms(3, 0x0102030405060708L);
    private static final MessageHeader HEADER =
            new MessageHeader(CLUSTER, SENDER_UPDATE, DIGEST, List.of());
    private static final MessageHeader HEADER_WITH_UPDATES =
            HEADER.withUpdates(List.of(SUSPECTED_UPDATE, DEAD_UPDATE));

    /** Each row has a message, the type code, the body including updates, and the checksum. */
    @DataProvider
    public Object[][] datagrams() {
        return new Object[][] {
            {
                new Message.Ping(HEADER_WITH_UPDATES, NUMBER),
                "00",
                "02" + SUSPECTED + DEAD,
                "c716d23d"
            },
            {new Message.Ack(HEADER, NUMBER), "01", "00", "de409b69"},
            {
                new Message.PingRequest(HEADER, NUMBER, SUSPECTED_UPDATE),
                "02",
                "01" + SUSPECTED + "00",
                "2a8ce240"
            },
            {new Message.Nack(HEADER, NUMBER), "03", "00", "1e2066ec"},
            {
                new Message.SyncRequest(HEADER, NUMBER, SUSPECTED_UPDATE),
                "04",
                "01" + SUSPECTED + "00",
                "12569ac9"
            },
            {new Message.SyncRequest(HEADER, NUMBER, null), "04", "0000", "496e55a6"},
            {
                new Message.SyncPage(HEADER_WITH_UPDATES, NUMBER, SUSPECTED_UPDATE),
                "05",
                "01" + SUSPECTED + "02" + SUSPECTED + DEAD,
                "0ae1c857"
            },
            {new Message.SyncPage(HEADER, NUMBER, null), "05", "0000", "07e75e0f"},
            {new Message.LeaseRequest(HEADER, NUMBER, TERMS), "06", LEASE + "00", "681f862f"},
            {new Message.LeaseGrant(HEADER, NUMBER, TERMS), "07", LEASE + "00", "ec2e9fde"},
            {new Message.LeaseRelease(HEADER, NUMBER, TERMS), "08", LEASE + "00", "3cf50485"},
        };
    }

    @Test(dataProvider = "datagrams")
    public void encodesAndDecodesRecordedBytes(
            Message message, String typeCode, String body, String checksum)
            throws MalformedMessageException {
        String expected = PREFIX + typeCode + ADDRESSING + SENDER + body + checksum;
        ByteBuffer encoded = MessageCodec.encode(message);
        byte[] bytes = new byte[encoded.remaining()];
        encoded.get(bytes);
        assertEquals(HexFormat.of().formatHex(bytes), expected);
        byte[] literal = HexFormat.of().parseHex(expected);
        assertEquals(MessageCodec.decode(ByteBuffer.wrap(literal)), message);
    }
}
