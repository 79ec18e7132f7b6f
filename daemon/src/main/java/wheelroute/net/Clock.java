package wheelroute.net;

/**
 * Unix time in seconds. The wall clock is read once: a step of it must not move what is under way.
 */
public class Clock {
    private static final double MILLIS = 1e3;
    private static final double NANOS = 1e9;

    private final double start = System.currentTimeMillis() / MILLIS;
    private final long startNanos = System.nanoTime();

    public double now() {
        return start + (System.nanoTime() - startNanos) / NANOS;
    }
}
