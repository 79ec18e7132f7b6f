package wheelroute.kit.model;

/**
 * One attempt of a client's request, which a dispatcher sees as a request of its own.
 *
 * @param number from 0; above 0 for retries by the client
 * @param dispatcher to which it is sent
 * @param sentAt seconds on the run's timeline
 * @param timeoutSeconds how long the client waits for a response
 */
public record ClientAttempt(
        ClientRequest request, int number, int dispatcher, double sentAt, double timeoutSeconds) {
    /** Identifies the attempt; the request is in the low bits, which hash tables use. */
    public long key() {
        return (long) number << Integer.SIZE | request.number();
    }
}
