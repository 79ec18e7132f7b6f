package wheelroute.net.loop;

/** Factors for conversions to and from seconds, the unit of all times on the event loop. */
public final class TimeUnits {
    /** Milliseconds in a second. */
    public static final double MILLIS_PER_SECOND = 1e3;

    /** Nanoseconds in a second. */
    public static final double NANOS_PER_SECOND = 1e9;

    private TimeUnits() {}
}
