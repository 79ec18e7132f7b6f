package wheelroute.config;

/** Thrown for a configuration that cannot be used. The message names the key at fault. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with the message "setting 'key' fault", which operators see.
     *
     * @param key path of the setting, name of the variable, or line of the file
     * @param fault what is wrong, as the predicate of a sentence about the key
     */
    public ConfigException(String key, String fault) {
        super("setting '" + key + "' " + fault);
    }
}
