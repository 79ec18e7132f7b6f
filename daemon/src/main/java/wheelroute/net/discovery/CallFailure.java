package wheelroute.net.discovery;

/**
 * The properties of a failed call to discovery that determine when the next call is made.
 *
 * @param kind how the call failed
 * @param connected whether the connection had been established
 * @param held whether discovery was allowed to hold the call until a change
 * @param rejected whether discovery answered with an error status
 * @param answeredBefore whether the watch has had a response since its last failure, on this
 *     connection or an earlier one
 * @param durationSeconds the time from the start of the call to its failure; the first call of a
 *     connection starts with the connect
 */
record CallFailure(
        Kind kind,
        boolean connected,
        boolean held,
        boolean rejected,
        boolean answeredBefore,
        double durationSeconds) {
    enum Kind {
        /** Neither a response nor a part of one arrived in time. */
        NO_RESPONSE,
        /** The connection ended during the call. */
        CONNECTION_LOST,
        /** The connection could not be established, broke, or a response could not be used. */
        CALL_FAILED
    }
}
