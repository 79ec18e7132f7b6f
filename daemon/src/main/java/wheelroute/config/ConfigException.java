package wheelroute.config;

/** Thrown for a configuration that cannot be used. The message names the invalid key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with the message {@code setting 'KEY' PROBLEM}, which operators see.
     *
     * @param key path of the setting, name of the variable, or line of the file
     * @param problem what is wrong, as the predicate of a sentence about the key
     */
    public ConfigException(String key, String problem) {
        super("setting '" + key + "' " + problem);
    }
}
