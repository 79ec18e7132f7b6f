package wheelroute.kit.model;

/**
 * One attempt of a client's request, which a dispatcher treats as a separate request.
 *
 * @param number counted from 0 within the request; above 0 for retries by the client
 * @param dispatcher the number of the dispatcher to which the attempt is sent
 * @param sentAt when the attempt was sent, in seconds on the run's timeline
 * @param timeoutSeconds how long the client waits for a response
 */
public record ClientAttempt(
        ClientRequest request, int number, int dispatcher, double sentAt, double timeoutSeconds) {
    /**
     * Returns a key that is unique among all attempts of a run. The request number is in the low
     * bits because hash tables use these.
     */
    public long key() {
        return (long) number << Integer.SIZE | request.number();
    }
}
