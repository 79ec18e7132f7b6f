package wheelroute.units;

/** Conversion factors between seconds, the unit of times in this program, and other units. */
public final class TimeUnits {
    /** Milliseconds are the unit of libraries and of some protocols. */
    public static final double MILLIS_PER_SECOND = 1e3;

    /** Microseconds are the unit of many times on the simulator's wire and in settings. */
    public static final double MICROS_PER_SECOND = 1e6;

    /** Nanoseconds are the unit of the clocks of the Java runtime. */
    public static final double NANOS_PER_SECOND = 1e9;

    private TimeUnits() {}
}
