package wheelroute.net.peers;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.zip.CRC32;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import wheelroute.WireFixture;
import wheelroute.config.PeeringConfig;
import wheelroute.net.loop.ControlledEventLoop;
import wheelroute.net.loop.ManualClock;
import wheelroute.peers.MalformedMessageException;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Message;
import wheelroute.peers.MessageCodec;
import wheelroute.peers.MessageHeader;
import wheelroute.peers.PeerId;

/** Tests a service whose two other dispatchers are simulated by sockets of the test. */
public class MembershipServiceTest {
    private static final String CLUSTER = "test";
    private static final int RECEIVE_TIMEOUT_MILLIS = 100;
    private static final int MAX_RECEIVES = 100;
    private static final MemberUpdate FIRST = update("lb-1", 1, MemberUpdate.State.ALIVE);
    private static final MemberUpdate SECOND = update("lb-2", 2, MemberUpdate.State.SUSPECT);

    private final ManualClock clock = new ManualClock();
    private ControlledEventLoop loop;
    private DatagramSocket firstPeer;
    private DatagramSocket secondPeer;

    private static MemberUpdate update(String name, int number, MemberUpdate.State state) {
        return new MemberUpdate(new PeerId(name), new MemberAddress(0, number), 1, state, 0);
    }

    @BeforeMethod
    public void start() throws Exception {
        clock.stop();
        loop = new ControlledEventLoop(clock, 1);
        loop.start();
        firstPeer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        secondPeer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        firstPeer.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        loop.stop();
        firstPeer.close();
        secondPeer.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(
                () -> {
                    try {
                        result.complete(task.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.get();
    }

    private MembershipService startService() throws Exception {
        InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        List<InetSocketAddress> addresses =
                List.of(
                        listen,
                        (InetSocketAddress) firstPeer.getLocalSocketAddress(),
                        (InetSocketAddress) secondPeer.getLocalSocketAddress());
        PeeringConfig peering = new PeeringConfig(CLUSTER, listen, addresses, 0);
        return onLoop(
                () -> {
                    MembershipService service =
                            new MembershipService(loop, peering, "lb-0", 7, false);
                    service.start();
                    return service;
                });
    }

    private static int clusterId(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    private static MessageHeader header(String cluster, MemberUpdate... updates) {
        return new MessageHeader(clusterId(cluster), FIRST, 0, List.of(updates));
    }

    private void send(SocketAddress to, ByteBuffer bytes) throws IOException {
        byte[] datagram = new byte[bytes.remaining()];
        bytes.get(datagram);
        firstPeer.send(new DatagramPacket(datagram, datagram.length, to));
    }

    /** Receives a datagram; returns null if none arrives within the timeout. */
    private DatagramPacket receive() throws IOException {
        byte[] bytes = new byte[MessageCodec.MAX_DATAGRAM_BYTES];
        DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
        try {
            firstPeer.receive(packet);
            return packet;
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    /** Receives the first datagram, which the service sends when it begins. */
    private DatagramPacket receiveFirst() throws IOException {
        for (int i = 0; i < MAX_RECEIVES; i++) {
            DatagramPacket packet = receive();
            if (packet != null) {
                return packet;
            }
        }
        throw new AssertionError(
                "expected a datagram from the service, got none in " + MAX_RECEIVES + " receives");
    }

    /** Grants the lease if the datagram requests one. */
    private void grantIfRequested(DatagramPacket packet)
            throws IOException, MalformedMessageException {
        ByteBuffer bytes = ByteBuffer.wrap(packet.getData(), 0, packet.getLength());
        if (MessageCodec.decode(bytes) instanceof Message.LeaseRequest request) {
            Message grant =
                    new Message.LeaseGrant(
                            header(CLUSTER), request.sequenceNumber(), request.terms());
            send(packet.getSocketAddress(), MessageCodec.encode(grant));
        }
    }

    /**
     * Operators' tools parse the answer to the admin command PEERS, so the text must not change.
     */
    @Test
    public void writesMembersTextAsRecorded() throws Exception {
        String expected = WireFixture.read("admin-peers.txt");
        MembershipService service = startService();
        SocketAddress serviceAddress = receiveFirst().getSocketAddress();
        send(serviceAddress, MessageCodec.encode(new Message.Ack(header(CLUSTER, SECOND), 0)));
        send(serviceAddress, MessageCodec.encode(new Message.Ack(header("other"), 0)));
        send(serviceAddress, ByteBuffer.wrap(new byte[] {1, 2, 3}));
        send(serviceAddress, ByteBuffer.wrap(new byte[] {4, 5, 6}));
        String text = onLoop(service::membersText);
        for (int i = 0; i < MAX_RECEIVES && !text.contains("malformed 2"); i++) {
            receive();
            text = onLoop(service::membersText);
        }
        // The service's own voter leaves its quarantine within this time.
        loop.advance(12.3);
        for (int i = 0; i < MAX_RECEIVES && !text.equals(expected); i++) {
            DatagramPacket packet = receive();
            if (packet != null) {
                grantIfRequested(packet);
            }
            text = onLoop(service::membersText);
        }
        assertEquals(text, expected);
    }
}
