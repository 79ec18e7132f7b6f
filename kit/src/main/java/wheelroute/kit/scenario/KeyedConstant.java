package wheelroute.kit.scenario;

/** An enum constant with a key of its own in scenario files and reports. */
public interface KeyedConstant {
    /** Returns the constant's key, which never changes. */
    String key();
}
