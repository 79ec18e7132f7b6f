package wheelroute.kit.model;

/**
 * One submission of an ask.
 *
 * @param number from 0
 * @param dispatcher to which it is sent
 * @param sentAt in seconds of the run's timeline
 * @param timeout how long its client waits
 */
public record ClientAttempt(
        ClientRequest request, int number, int dispatcher, double sentAt, double timeout) {
    /** One number for both; the ask in the low bits, from which hash tables are spread. */
    public long key() {
        return (long) number << Integer.SIZE | request.number();
    }
}
