package wheelroute.net.clients;

/** Accepts the requests of clients. Used on the event loop's thread only. */
public interface RequestAcceptor {
    /** Receives the events of the connection on which a request was accepted. */
    interface AcceptedRequest {
        /** Called when the client has closed its connection before the response. */
        void onClientGone();
    }

    /** Sends the final response to a client. */
    interface ResponseSender {
        /** Sends the response. Called once. */
        void send(ClientResponse response);

        /**
         * Checks whether the client has closed its connection, even if that was not read yet. If
         * so, {@link AcceptedRequest#onClientGone} is called later.
         */
        boolean isClientGone();
    }

    /**
     * Accepts a request, which may be answered before this method returns.
     *
     * @param arrivedAt Unix time in seconds at which the last byte of the request arrived at the
     *     earliest; the client's timeout starts then
     * @throws BadRequestException if the request is not valid, as without a known request class
     */
    AcceptedRequest accept(ClientRequest message, double arrivedAt, ResponseSender responses)
            throws BadRequestException;

    /** Records a complete request that was rejected because there were too many connections. */
    void onRejected(ClientRequest message);

    /** Whether this process is shutting down. */
    boolean isDraining();

    /** Whether each response is now the last one on its connection, as the process shuts down. */
    boolean closesAfterResponse();

    /** Returns all metrics in the text format of Prometheus. */
    String metrics();
}
