package wheelroute.net.clients;

/** Accepts the requests that clients send. Used on the event loop's thread only. */
public interface RequestAcceptor {
    /** Receives the events of the connection on which a request was accepted. */
    interface AcceptedRequest {
        /** Called when the client has closed the connection before the response was sent. */
        void onClientGone();
    }

    /** Sends the final response to a client. */
    interface ResponseSender {
        /** Sends the response. Must be called at most once. */
        void send(ClientResponse response);

        /**
         * Checks whether the client has closed its connection, including an end of stream that has
         * arrived but was not read yet. If so, {@link AcceptedRequest#onClientGone} is called
         * later.
         */
        ClientPresence checkPresence();
    }

    /**
     * Accepts a request, which may be answered before this method returns.
     *
     * @param arrivedAt the earliest Unix time in seconds at which the last byte of the request may
     *     have arrived; the client's timeout starts then
     * @param connectionNumber the number of the client's connection, which no other open connection
     *     has
     * @throws BadRequestException if the request is invalid, for example if its request class is
     *     unknown
     */
    AcceptedRequest accept(
            ClientRequest message, double arrivedAt, int connectionNumber, ResponseSender responses)
            throws BadRequestException;

    /** Records a complete request that was rejected because too many connections were open. */
    void onRejected(ClientRequest message);

    /** Whether this process is shutting down. */
    boolean isDraining();

    /** Whether the shutdown requires that each connection closes after its next response. */
    boolean closesAfterResponse();

    /** Returns all metrics in the text format of Prometheus. */
    String metrics();
}
