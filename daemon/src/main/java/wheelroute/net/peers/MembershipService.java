package wheelroute.net.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.PeeringConfig;
import wheelroute.decision.DispatcherShares;
import wheelroute.net.DatagramSocket;
import wheelroute.net.EventLoop;
import wheelroute.peers.Lease;
import wheelroute.peers.LeaseTerms;
import wheelroute.peers.LeaseVoter;
import wheelroute.peers.MalformedMessageException;
import wheelroute.peers.MemberAddress;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Membership;
import wheelroute.peers.MembershipConfig;
import wheelroute.peers.Message;
import wheelroute.peers.MessageCodec;
import wheelroute.peers.MessageHeader;
import wheelroute.peers.PeerId;
import wheelroute.peers.QuotaLeases;

/**
 * The other dispatchers of this installation, by datagrams. They are known by their numbers; where
 * each number is reached is this dispatcher's own list, as one that others tell may not be where it
 * is for us.
 */
public final class MembershipService implements DispatcherShares {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);

    private final EventLoop loop;
    private final PeeringConfig peering;
    private final PeerId name;
    private final long life;
    private final Membership membership;
    private final QuotaLeases shares;
    private final int cluster;
    private final boolean shared;
    private LeaseVoter votes;
    private DatagramSocket socket;
    private EventLoop.Timer wake;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private boolean silent;
    private boolean left;
    private long malformed;
    private long foreign;

    /**
     * From this process's start on; nothing is sent before {@link #begin}.
     *
     * @param shared another process may take this one's place, and then hears peers at the same
     *     address
     */
    public MembershipService(
            EventLoop loop, PeeringConfig peering, String dispatcher, long seed, boolean shared)
            throws IOException {
        this.loop = loop;
        this.peering = peering;
        this.shared = shared;
        name = new PeerId(dispatcher);
        life = System.currentTimeMillis();
        cluster = cluster(peering.cluster());
        MemberAddress own = new MemberAddress(0, peering.number());
        List<MemberAddress> places =
                java.util.stream.IntStream.range(0, peering.addresses().size())
                        .mapToObj(n -> new MemberAddress(0, n))
                        .toList();
        membership =
                new Membership(
                        new MembershipConfig(cluster, name, own, life, places, seed, true),
                        new MembershipTransport());
        shares =
                new QuotaLeases(
                        peering.number(), places.size(), life, this::isThere, new LeaseTransport());
        open();
    }

    private void open() throws IOException {
        votes = new LeaseVoter(loop.now());
        socket =
                new DatagramSocket(
                        loop,
                        peering.listen(),
                        shared,
                        MessageCodec.MAX_DATAGRAM_BYTES + 1,
                        this::came);
    }

    private static int cluster(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    public void begin() {
        LOG.info(
                "peers are heard at {}, as number {} of {}",
                socket.address(),
                peering.number(),
                peering.addresses().size());
        membership.advanceTo(loop.now());
        membership.start();
        askForShares();
    }

    /** Gives back what it holds and says that it goes. */
    public void leave() {
        left = true;
        if (!silent) {
            shares.releaseAll();
            membership.advanceTo(loop.now());
            membership.leave();
            fallSilent();
        }
    }

    /**
     * Another process speaks for this dispatcher, or does so no longer: both are one member. What
     * that one holds it holds by words of its own, so what this one holds is given back; and of
     * what was promised in the meantime this one knows nothing, so it is silent for as long as
     * after a start.
     */
    public void succeeded(boolean now) {
        if (now) {
            fallSilent();
        } else if (silent && !left) {
            try {
                open();
                silent = false;
                begin();
            } catch (IOException e) {
                LOG.warn("peers are not heard any more: {}", e.toString());
            }
        }
    }

    private void fallSilent() {
        if (!silent) {
            shares.releaseAll();
            silent = true;
            membership.stop();
            socket.close();
        }
    }

    private void askForShares() {
        if (!silent) {
            loop.schedule(Math.min(Lease.DURATION, shares.renew(loop.now())), this::askForShares);
        }
    }

    // ---- what the decisions ask

    @Override
    public double ofDispatcher(int number) {
        return silent ? 0 : shares.usablePart(number, loop.now());
    }

    @Override
    public double total() {
        return silent ? 0 : shares.usableTotal(loop.now());
    }

    // ---- who is there

    private boolean isThere(int number) {
        return number == peering.number()
                || membership.others().stream()
                        .anyMatch(
                                one ->
                                        one.address().port() == number
                                                && one.state() == MemberUpdate.State.ALIVE);
    }

    private InetSocketAddress address(MemberAddress place) {
        return place.host() == 0 && place.port() < peering.addresses().size()
                ? peering.addresses().get(place.port())
                : null;
    }

    private void send(MemberAddress to, Message message) {
        InetSocketAddress address = address(to);
        if (address != null && !silent) {
            socket.send(address, MessageCodec.encode(message));
        }
    }

    private MessageHeader leaseHeader() {
        return new MessageHeader(cluster, membership.self(), 0, List.of());
    }

    private final class LeaseTransport implements QuotaLeases.Transport {
        @Override
        public void sendRequest(int dispatcher, int sequenceNumber, LeaseTerms terms) {
            send(dispatcher, new Message.LeaseRequest(leaseHeader(), sequenceNumber, terms));
        }

        @Override
        public void sendRelease(int dispatcher, int sequenceNumber, LeaseTerms terms) {
            send(dispatcher, new Message.LeaseRelease(leaseHeader(), sequenceNumber, terms));
        }

        private void send(int dispatcher, Message.LeaseMessage message) {
            if (dispatcher == peering.number()) {
                // Our own vote is asked for in a later turn of the loop, as if by a datagram.
                loop.post(() -> lease(message));
            } else {
                MembershipService.this.send(new MemberAddress(0, dispatcher), message);
            }
        }
    }

    private void came(InetSocketAddress from, ByteBuffer bytes) {
        if (silent) {
            return;
        }
        try {
            Message message = MessageCodec.decode(bytes);
            MemberAddress sender = message.header().sender().address();
            if (message.header().cluster() != cluster || address(sender) == null) {
                foreign++;
                return;
            }
            membership.advanceTo(loop.now());
            membership.receive(sender, message);
            if (message instanceof Message.LeaseMessage leaseMessage) {
                lease(leaseMessage);
            }
        } catch (MalformedMessageException e) {
            malformed++;
            LOG.debug("no datagram of ours from {}: {}", from, e.getMessage());
        }
    }

    private void lease(Message.LeaseMessage message) {
        if (silent) {
            return;
        }
        double now = loop.now();
        int number = message.sequenceNumber();
        LeaseTerms terms = message.terms();
        PeerId sender = message.header().sender().id();
        if (message instanceof Message.LeaseRequest) {
            if (votes.requestVote(now, terms.share(), sender, terms.incarnation(), number)) {
                grant(message);
            }
        } else if (message instanceof Message.LeaseGrant) {
            shares.onGrant(now, number, terms, sender);
        } else {
            votes.release(terms.share(), sender, terms.incarnation(), number);
        }
    }

    private void grant(Message.LeaseMessage request) {
        MemberUpdate holder = request.header().sender();
        Message.LeaseGrant grant =
                new Message.LeaseGrant(leaseHeader(), request.sequenceNumber(), request.terms());
        if (holder.id().equals(name)) {
            loop.post(() -> lease(grant));
        } else {
            send(holder.address(), grant);
        }
    }

    private final class MembershipTransport implements Membership.Transport {
        @Override
        public void send(MemberAddress to, Message message) {
            MembershipService.this.send(to, message);
        }

        @Override
        public void scheduleTimer(double delay) {
            double at = loop.now() + delay;
            if (at >= wakeAt && wakeAt > loop.now()) {
                return;
            }
            if (wake != null) {
                wake.cancel();
            }
            wakeAt = at;
            wake =
                    loop.schedule(
                            delay,
                            () -> {
                                wakeAt = Double.POSITIVE_INFINITY;
                                membership.advanceTo(loop.now());
                                membership.onTimer();
                            });
        }

        @Override
        public void memberChanged(
                MemberUpdate update, MemberUpdate.State previous, PeerId reportedBy) {
            LOG.info(
                    "{} (number {}) is {}{}, {}",
                    update.id(),
                    update.address().port(),
                    word(update.state()),
                    previous == null ? "" : ", was " + word(previous),
                    reason(update, reportedBy));
        }

        private String reason(MemberUpdate update, PeerId reportedBy) {
            if (reportedBy.equals(name)) {
                return "by our own probes";
            }
            return reportedBy.equals(update.id())
                    ? "as it reports"
                    : "as " + reportedBy + " reports";
        }
    }

    private static String word(MemberUpdate.State state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    // ---- what operators are told

    /**
     * A line for each dispatcher that is known, this one first, and one on shares and datagrams.
     */
    public String text() {
        membership.advanceTo(loop.now());
        StringBuilder out = new StringBuilder();
        out.append(name).append(' ').append(peering.number()).append(" alive itself\n");
        for (MemberUpdate one : membership.others()) {
            out.append(one.id())
                    .append(' ')
                    .append(one.address().port())
                    .append(' ')
                    .append(word(one.state()))
                    .append(
                            String.format(
                                    Locale.ROOT, " %.1f s%n", membership.timeInState(one.id())));
        }
        out.append(
                String.format(
                        Locale.ROOT,
                        "share %.4f of the whole, holding %s; doubt %d; datagrams not"
                                + " ours %d, malformed %d%n",
                        total(),
                        shares.heldShares(loop.now()),
                        membership.localHealthScore(),
                        foreign,
                        malformed));
        return out.toString();
    }
}
