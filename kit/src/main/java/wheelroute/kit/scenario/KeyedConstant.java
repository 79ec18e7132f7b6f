package wheelroute.kit.scenario;

/** An enum constant that scenario files and reports denote by a key instead of its name. */
public interface KeyedConstant {
    /** Returns the constant's key, which must not change, as scenario files and reports use it. */
    String key();
}
