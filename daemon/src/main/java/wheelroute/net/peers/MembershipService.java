package wheelroute.net.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.PeeringConfig;
import wheelroute.decision.DispatcherShares;
import wheelroute.net.loop.EventLoop;
import wheelroute.peers.Lease;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.MembershipConfig;
import wheelroute.peers.Message;
import wheelroute.peers.PeerId;
import wheelroute.peers.QuotaLeases;

/**
 * Runs membership and quota leases in the daemon, which determine the dispatchers of the cluster
 * that are alive and how much of the shared quota this dispatcher may use.
 *
 * <p>Used on the event loop's thread only.
 */
public final class MembershipService implements DispatcherShares {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);

    private final EventLoop loop;
    private final PeeringConfig peering;
    private final PeerId selfId;
    private final PeerSocket socket;
    private final MembershipDriver membership;
    private final LeaseMessenger leaseMessenger;
    private final QuotaLeases leases;
    private State state;

    /**
     * Whether this process takes part in the membership. All processes of one dispatcher are one
     * member, for which one process at a time takes part.
     */
    private enum State {
        /** This process takes part, and its socket is open. */
        ACTIVE,
        /** A successor process takes part. */
        STANDBY,
        /** The dispatcher has left the membership; this state is final. */
        LEFT
    }

    /**
     * Creates a service that listens at the configured address. No message is sent before {@link
     * #start}.
     *
     * @param dispatcher the name of this dispatcher
     * @param seed seed of the random number generator
     * @param shared whether a successor process may take over and listen at the same address
     * @throws IOException if the address cannot be used
     */
    public MembershipService(
            EventLoop loop, PeeringConfig peering, String dispatcher, long seed, boolean shared)
            throws IOException {
        this.loop = loop;
        this.peering = peering;
        selfId = new PeerId(dispatcher);
        int cluster = clusterId(peering.cluster());
        int number = peering.number();
        long incarnation = System.currentTimeMillis();
        List<MemberAddress> members = memberAddresses(peering);
        socket = new PeerSocket(loop, peering, cluster, shared, this::onMessage);
        membership =
                new MembershipDriver(
                        loop,
                        socket,
                        new MembershipConfig(
                                cluster,
                                selfId,
                                PeerSocket.addressOf(number),
                                incarnation,
                                members,
                                seed,
                                true));
        leaseMessenger = new LeaseMessenger(loop, socket, membership, cluster, number);
        leases =
                new QuotaLeases(number, members.size(), incarnation, this::isAlive, leaseMessenger);
        leaseMessenger.setLeases(leases);
        open();
    }

    private static int clusterId(String clusterName) {
        CRC32 crc = new CRC32();
        crc.update(clusterName.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    private static List<MemberAddress> memberAddresses(PeeringConfig peering) {
        List<MemberAddress> addresses = new ArrayList<>();
        for (int number = 0; number < peering.addresses().size(); number++) {
            addresses.add(PeerSocket.addressOf(number));
        }
        return addresses;
    }

    private void open() throws IOException {
        leaseMessenger.resetVoter();
        socket.open();
        state = State.ACTIVE;
    }

    /** Starts to probe the other dispatchers and to request leases. */
    public void start() {
        // The test kit waits for this log line and reads the port from the line.
        LOG.info(
                "membership listening on {} as member {} of {}",
                socket.localAddress(),
                peering.number(),
                peering.addresses().size());
        membership.start();
        renewLeases();
    }

    private void renewLeases() {
        if (state == State.ACTIVE) {
            double delaySeconds = Math.min(Lease.DURATION_SECONDS, leases.renew(loop.now()));
            loop.schedule(delaySeconds, this::renewLeases);
        }
    }

    /** Releases the leases, announces that this dispatcher leaves, and stops for good. */
    public void leave() {
        if (state == State.ACTIVE) {
            leases.releaseAll();
            membership.leave();
            deactivate();
        }
        state = State.LEFT;
    }

    /**
     * Hands membership over to a successor process, or takes membership back when the successor has
     * ended. The successor acquires leases of its own, so this process releases its leases. When
     * this process becomes active again, its voter starts in quarantine, because the voter does not
     * know which votes the successor gave.
     *
     * @param hasSuccessor whether there is a successor process now
     */
    public void onSuccessorChanged(boolean hasSuccessor) {
        if (hasSuccessor && state == State.ACTIVE) {
            deactivate();
        } else if (!hasSuccessor && state == State.STANDBY) {
            reactivate();
        }
    }

    private void deactivate() {
        leases.releaseAll();
        membership.stop();
        socket.close();
        state = State.STANDBY;
    }

    private void reactivate() {
        try {
            open();
            start();
        } catch (IOException e) {
            LOG.warn("membership socket not reopened after replacement: {}", e.toString());
        }
    }

    private void onMessage(Message message) {
        membership.receive(message);
        if (message instanceof Message.LeaseMessage leaseMessage) {
            leaseMessenger.receive(leaseMessage);
        }
    }

    private boolean isAlive(int number) {
        return number == peering.number() || membership.isAlive(number);
    }

    /**
     * Returns the usable fraction of a dispatcher's share of the quota, from 0 to 1; 0 while this
     * process is not active.
     */
    @Override
    public double ofDispatcher(int number) {
        return state == State.ACTIVE ? leases.usableFraction(number, loop.now()) : 0;
    }

    /**
     * Returns the usable fraction of the total quota, from 0 to 1; 0 while this process is not
     * active.
     */
    @Override
    public double total() {
        return state == State.ACTIVE ? leases.usableTotalFraction(loop.now()) : 0;
    }

    /**
     * Returns the answer to the admin command PEERS: a line for each known dispatcher, this one
     * first, then a line with the quota, the local health score and the numbers of dropped
     * datagrams of this dispatcher.
     */
    public String membersText() {
        StringBuilder out = new StringBuilder();
        out.append(selfId).append(' ').append(peering.number()).append(" alive itself\n");
        for (MemberUpdate member : membership.others()) {
            out.append(memberLine(member));
        }
        return out.append(summaryLine()).toString();
    }

    private String memberLine(MemberUpdate member) {
        return String.format(
                Locale.ROOT,
                "%s %d %s %.1f s%n",
                member.id(),
                member.address().port(),
                MembershipDriver.stateName(member.state()),
                membership.secondsInState(member.id()));
    }

    private String summaryLine() {
        return String.format(
                Locale.ROOT,
                "share %.4f of the whole, holding %s; doubt %d; datagrams not"
                        + " ours %d, malformed %d%n",
                total(),
                leases.heldShares(loop.now()),
                membership.localHealthScore(),
                socket.foreignCount(),
                socket.malformedCount());
    }
}
