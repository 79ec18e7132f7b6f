package wheelroute.net.peers;

import java.util.List;
import wheelroute.net.loop.EventLoop;
import wheelroute.peers.LeaseTerms;
import wheelroute.peers.LeaseVoter;
import wheelroute.peers.MemberUpdate;
import wheelroute.peers.Message;
import wheelroute.peers.MessageHeader;
import wheelroute.peers.PeerId;
import wheelroute.peers.QuotaLeases;

/**
 * Exchanges lease messages with the other dispatchers, in both parts that this one has: as a holder
 * it sends {@link QuotaLeases}' requests and passes on the grants, as a voter it answers requests.
 * Its own vote is taken in a later turn of the loop, as if by datagram.
 */
final class LeaseMessenger implements QuotaLeases.Transport {
    /** Lease messages take no part in the comparison of member lists. */
    private static final int NO_DIGEST = 0;

    private final EventLoop loop;
    private final PeerSocket socket;
    private final MembershipDriver membership;
    private final int cluster;
    private final int ownNumber;
    private LeaseVoter voter;
    private QuotaLeases leases;

    LeaseMessenger(
            EventLoop loop,
            PeerSocket socket,
            MembershipDriver membership,
            int cluster,
            int ownNumber) {
        this.loop = loop;
        this.socket = socket;
        this.membership = membership;
        this.cluster = cluster;
        this.ownNumber = ownNumber;
    }

    /** Sets who gets the grants; to be called once, before any message arrives. */
    void setLeases(QuotaLeases holder) {
        leases = holder;
    }

    /** Starts a voter that knows of no earlier votes, and so grants nothing for a while. */
    void resetVoter() {
        voter = new LeaseVoter(loop.now());
    }

    @Override
    public void sendRequest(int dispatcher, int sequenceNumber, LeaseTerms terms) {
        send(dispatcher, new Message.LeaseRequest(header(), sequenceNumber, terms));
    }

    @Override
    public void sendRelease(int dispatcher, int sequenceNumber, LeaseTerms terms) {
        send(dispatcher, new Message.LeaseRelease(header(), sequenceNumber, terms));
    }

    private MessageHeader header() {
        return new MessageHeader(cluster, membership.self(), NO_DIGEST, List.of());
    }

    private void send(int dispatcher, Message.LeaseMessage message) {
        if (dispatcher == ownNumber) {
            loop.post(() -> receive(message));
        } else {
            socket.send(PeerSocket.addressOf(dispatcher), message);
        }
    }

    /**
     * A lease message has arrived, or is this dispatcher's own; dropped if the socket is closed.
     */
    void receive(Message.LeaseMessage message) {
        if (!socket.isOpen()) {
            return;
        }
        double now = loop.now();
        int sequenceNumber = message.sequenceNumber();
        LeaseTerms terms = message.terms();
        PeerId sender = message.header().sender().id();
        if (message instanceof Message.LeaseRequest request) {
            if (voter.requestVote(
                    now, terms.share(), sender, terms.incarnation(), sequenceNumber)) {
                grant(request);
            }
        } else if (message instanceof Message.LeaseGrant) {
            leases.onGrant(now, sequenceNumber, terms, sender);
        } else if (message instanceof Message.LeaseRelease) {
            voter.release(terms.share(), sender, terms.incarnation(), sequenceNumber);
        }
    }

    private void grant(Message.LeaseRequest request) {
        MemberUpdate holder = request.header().sender();
        Message.LeaseGrant grant =
                new Message.LeaseGrant(header(), request.sequenceNumber(), request.terms());
        if (holder.id().equals(membership.self().id())) {
            loop.post(() -> receive(grant));
        } else {
            socket.send(holder.address(), grant);
        }
    }
}
