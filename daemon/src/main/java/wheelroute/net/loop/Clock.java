package wheelroute.net.loop;

/**
 * Unix time in seconds. The wall clock is read once, so that a step of it does not move what is in
 * flight. For any thread.
 */
public class Clock {
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final double start = System.currentTimeMillis() / MILLIS_PER_SECOND;
    private final long startNanos = System.nanoTime();

    /** The wall clock's reading now, in seconds: it may have been stepped since the start. */
    public double wallTime() {
        return System.currentTimeMillis() / MILLIS_PER_SECOND;
    }

    /** The time now, in seconds; never goes back. */
    public double now() {
        return start + (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }
}
