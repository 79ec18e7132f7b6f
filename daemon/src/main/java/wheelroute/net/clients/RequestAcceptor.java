package wheelroute.net.clients;

/** Accepts the requests that clients send. Only for the event loop's thread. */
public interface RequestAcceptor {
    /** An accepted request, as its client's connection sees it. */
    interface AcceptedRequest {
        /** The client has closed its connection. */
        void onClientGone();
    }

    /** Where the final response goes. */
    interface ResponseSender {
        /** Sends the response; to be called once. */
        void send(ClientResponse response);

        /**
         * Checks for a close of the connection that has not been noticed yet. If there is one,
         * {@link AcceptedRequest#onClientGone} follows.
         */
        boolean isClientGone();
    }

    /**
     * Accepts a request, or rejects it by a response.
     *
     * @param arrivedAt Unix time in seconds: the earliest at which its last byte may have arrived,
     *     from which its timeout counts
     * @throws BadRequestException if there is no such request class, for instance
     */
    AcceptedRequest accept(ClientRequest message, double arrivedAt, ResponseSender responses)
            throws BadRequestException;

    /** A complete request has been rejected because there were too many connections. */
    void onRejected(ClientRequest message);

    /** Whether this process is shutting down. */
    boolean isDraining();

    /** Whether a response is the last on its connection, as this process is shutting down. */
    boolean closesAfterResponse();

    /** All metrics in Prometheus' text format. */
    String metrics();
}
