package wheelroute.kit.model;

/**
 * One submission of an ask.
 *
 * @param attempt from 0
 * @param dispatcher to which it is sent
 * @param sentAt in seconds of the run's timeline
 * @param timeout how long its client waits
 */
public record ClientAttempt(
        ClientRequest ask, int attempt, int dispatcher, double sentAt, double timeout) {
    /** One number for both; the ask in the low bits, from which hash tables are spread. */
    public long key() {
        return (long) attempt << Integer.SIZE | ask.number();
    }
}
