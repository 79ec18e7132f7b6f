package wheelroute.kit.model;

/**
 * One attempt of a client's request: what a dispatcher sees as a request.
 *
 * @param number from 0; above 0 for retries by the client
 * @param dispatcher to which it is sent
 * @param sentAt seconds on the run's timeline
 * @param timeoutSeconds how many seconds its client waits
 */
public record ClientAttempt(
        ClientRequest request, int number, int dispatcher, double sentAt, double timeoutSeconds) {
    /** Identifies the attempt; the request in the low bits, from which hash tables are spread. */
    public long key() {
        return (long) number << Integer.SIZE | request.number();
    }
}
