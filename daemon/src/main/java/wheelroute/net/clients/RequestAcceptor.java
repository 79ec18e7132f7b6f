package wheelroute.net.clients;

/** What the client side hands over to, and may ask. */
public interface RequestAcceptor {
    /** One submission as its client's connection sees it. */
    interface AcceptedRequest {
        /** The client closed its connection. */
        void onClientGone();
    }

    /** Where the one final answer goes. */
    interface ResponseSender {
        void send(ClientResponse answer);

        /** Looks whether the client has left and it was not told yet; if so, that follows. */
        boolean hasClientLeft();
    }

    /**
     * What is not taken is told why: for want of such an offering, say.
     *
     * @param cameAt the earliest time at which its last byte may have come, from which its timeout
     *     counts
     */
    AcceptedRequest accept(ClientRequest message, double cameAt, ResponseSender answers)
            throws BadRequestException;

    /** A whole message that is told to come back, for want of a place, and not taken. */
    void onRejected(ClientRequest message);

    boolean isDraining();

    /** Whether an answer is the last on its connection, as the process is about to end. */
    boolean closesAfterResponse();

    String metrics();
}
