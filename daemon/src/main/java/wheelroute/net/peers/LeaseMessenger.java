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
 * Exchanges lease messages with the other dispatchers, for both roles of this dispatcher. For the
 * holder of leases, {@link QuotaLeases}, the messenger sends requests and receives grants. For the
 * voter, {@link LeaseVoter}, it receives requests and sends grants. Messages of this dispatcher to
 * itself are delivered in a later task of the event loop, like datagrams.
 *
 * <p>Used on the event loop's thread only. Messages may be lost; no method reports a loss.
 */
final class LeaseMessenger implements QuotaLeases.Transport {
    /** Digest in the header of lease messages, which are not used to compare member lists. */
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

    /** Sets the receiver of grants. Called once, before any message arrives. */
    void setLeases(QuotaLeases holder) {
        leases = holder;
    }

    /**
     * Replaces the voter by one that knows no earlier grants and therefore starts in quarantine.
     */
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
     * Handles a message from another dispatcher or from this one; drops the message if the socket
     * is closed.
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
            if (voter.requestVote(now, terms, sender, sequenceNumber)) {
                grant(request);
            }
        } else if (message instanceof Message.LeaseGrant) {
            leases.onGrant(now, sequenceNumber, terms, sender);
        } else if (message instanceof Message.LeaseRelease) {
            voter.release(terms, sender, sequenceNumber);
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
