package wheelroute.config;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * The values of the environment and the configuration file. A variable that is set, even to an
 * empty value, takes precedence over the key of the same meaning. An empty value counts as absent.
 */
final class ConfigValues {
    /** Passed in place of a variable's name for a key that has no variable. */
    static final String NO_VARIABLE = "";

    private final Map<String, String> environment;
    private final Map<String, String> pairs;

    ConfigValues(Map<String, String> environment, Map<String, String> pairs) {
        this.environment = environment;
        this.pairs = pairs;
    }

    /** Returns whether the file has the key, possibly with an empty value. */
    boolean fileContains(String key) {
        return pairs.containsKey(key);
    }

    /** Returns the key's value in the file; empty if it is absent. */
    String fileText(String key) {
        return pairs.getOrDefault(key, "");
    }

    /** Returns the key's value in the file as a number, or the default if it is absent. */
    double fileNumber(String key, double defaultValue) throws ConfigException {
        return new SettingsReader(pairs).number(key, defaultValue);
    }

    /** Returns the variable's value; empty if it is absent. */
    String variable(String name) {
        return environment.getOrDefault(name, "");
    }

    /**
     * Returns the value of the variable, or else of the key.
     *
     * @throws ConfigException if there is none
     */
    String required(String variable, String key) throws ConfigException {
        String value = environment.getOrDefault(variable, pairs.get(key));
        if (value == null || value.isEmpty()) {
            String alternative = variable.isEmpty() ? "" : ", and so is " + variable;
            throw new ConfigException(key, "is missing" + alternative);
        }
        return value;
    }

    /**
     * Returns the value of the variable, or else of the key, as an address.
     *
     * @throws ConfigException if there is none or it is not an address
     */
    InetSocketAddress requiredAddress(String variable, String key) throws ConfigException {
        String value = required(variable, key);
        InetSocketAddress address = SocketAddresses.parse(value);
        if (address == null) {
            throw new ConfigException(key, "is not host:port: " + value);
        }
        return address;
    }

    /**
     * Returns the value of the variable, or else of the key, as an address; null if there is none.
     *
     * @throws ConfigException if it is not an address
     */
    InetSocketAddress optionalAddress(String variable, String key) throws ConfigException {
        return environment.getOrDefault(variable, fileText(key)).isEmpty()
                ? null
                : requiredAddress(variable, key);
    }
}
