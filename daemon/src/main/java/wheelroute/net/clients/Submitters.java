package wheelroute.net.clients;

/** What the client side hands over to, and may ask. */
public interface Submitters {
    /** One submission as its client's connection sees it. */
    interface Taken {
        /** The client closed its connection. */
        void clientGone();
    }

    /** Where the one final answer goes. */
    interface Answers {
        void answer(ClientAnswer answer);

        /** Looks whether the client has left and it was not told yet; if so, that follows. */
        boolean hasLeft();
    }

    /**
     * What is not taken is told why: for want of such an offering, say.
     *
     * @param cameAt the earliest time at which its last byte may have come, from which its timeout
     *     counts
     */
    Taken take(ClientMessage message, double cameAt, Answers answers) throws BadMessage;

    /** A whole message that is told to come back, for want of a place, and not taken. */
    void turnedAway(ClientMessage message);

    boolean isDraining();

    /** Whether an answer is the last on its connection, as the process is about to end. */
    boolean closesConnections();

    String metrics();
}
