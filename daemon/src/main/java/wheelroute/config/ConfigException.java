package wheelroute.config;

/** A setting whose value cannot be used; the message names its key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with the message "setting 'key' fault".
     *
     * @param key path of the setting, or the place where the file is at fault
     * @param fault what is wrong, as the predicate of a sentence about the key
     */
    public ConfigException(String key, String fault) {
        super("setting '" + key + "' " + fault);
    }
}
