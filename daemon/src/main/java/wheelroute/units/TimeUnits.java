package wheelroute.units;

/** Factors between seconds, the unit of all times in this program, and the units of others. */
public final class TimeUnits {
    /** For times of libraries and of some protocols, which are in milliseconds. */
    public static final double MILLIS_PER_SECOND = 1e3;

    /** For times on the wire and in settings, many of which are in microseconds. */
    public static final double MICROS_PER_SECOND = 1e6;

    /** For the clocks of the runtime. */
    public static final double NANOS_PER_SECOND = 1e9;

    private TimeUnits() {}
}
