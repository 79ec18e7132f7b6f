package wheelroute.config;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import wheelroute.decision.Settings;

/**
 * Reads a dispatcher's configuration from the environment and the file that LB_CONFIG names.
 *
 * <p>At startup, environment variables take precedence over the file. On a reload only the file can
 * have changed, so the discovery address in the file then takes precedence over its variable.
 */
public final class ConfigReader {
    private static final int HEX_RADIX = 16;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private final ConfigFile file;
    private final ConfigValues values;
    private final boolean isReload;

    private ConfigReader(Map<String, String> environment, ConfigFile file, boolean isReload) {
        this.file = file;
        this.values = new ConfigValues(environment, file.pairs());
        this.isReload = isReload;
    }

    /**
     * Reads the configuration of a starting process.
     *
     * @throws ConfigException if the file or a value cannot be used
     */
    public static Config read(Map<String, String> environment) throws ConfigException {
        return read(environment, false);
    }

    /**
     * Reads the configuration again for a running process.
     *
     * @param environment the environment at the start of the process
     * @throws ConfigException if the file or a value cannot be used
     */
    public static Config reread(Map<String, String> environment) throws ConfigException {
        return read(environment, true);
    }

    private static Config read(Map<String, String> environment, boolean isReload)
            throws ConfigException {
        String path = environment.get(ConfigKeys.CONFIG_FILE_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException(
                    ConfigKeys.CONFIG_FILE_VARIABLE,
                    "is not set; it must name the configuration file");
        }
        return new ConfigReader(environment, ConfigFile.read(path), isReload).readConfig();
    }

    private Config readConfig() throws ConfigException {
        Map<String, String> settingsPairs = settingsPairs();
        boolean listIsPushed =
                SettingsVocabulary.LIST_MODE_PUSH.equals(
                        settingsPairs.get(ConfigKeys.ENDPOINT_LIST_MODE));
        // The service always polls. The configured mode only says whether discovery pushes changes
        // to its agent.
        settingsPairs.put(ConfigKeys.ENDPOINT_LIST_MODE, SettingsVocabulary.LIST_MODE_POLL);
        SettingsReader settingsReader = new SettingsReader(settingsPairs);
        Settings settings = settingsReader.readSettings(seed());
        double maxTimeoutSeconds = maxDeadlineSeconds(settings, settingsReader);
        int maxDescriptors = maxDescriptors();
        double maxMemoryBytes = maxMemoryBytes();
        InetSocketAddress admin =
                values.optionalAddress(ConfigKeys.ADMIN_VARIABLE, ConfigKeys.ADMIN);
        return new Config(
                values.required(ConfigKeys.NAME_VARIABLE, ConfigKeys.NAME),
                values.requiredAddress(ConfigKeys.LISTEN_VARIABLE, ConfigKeys.LISTEN),
                discovery(),
                admin,
                admin == null ? null : handoverDirectory(),
                maxDescriptors,
                maxMemoryBytes,
                file.cachedEndpoints(),
                settings,
                positiveSeconds(
                        settingsReader,
                        ConfigKeys.CONNECT_TIMEOUT,
                        ConfigDefaults.CONNECT_TIMEOUT_SECONDS),
                positiveSeconds(
                        settingsReader,
                        ConfigKeys.IDLE_TIMEOUT,
                        ConfigDefaults.IDLE_TIMEOUT_SECONDS),
                maxTimeoutSeconds,
                listIsPushed,
                new PeeringConfigReader(values).read(settings));
    }

    private Map<String, String> settingsPairs() {
        Map<String, String> settingsPairs = new HashMap<>();
        file.pairs()
                .forEach(
                        (key, value) -> {
                            if (key.startsWith(ConfigKeys.SETTINGS_PREFIX)) {
                                settingsPairs.put(
                                        key.substring(ConfigKeys.SETTINGS_PREFIX.length()), value);
                            }
                        });
        return settingsPairs;
    }

    private InetSocketAddress discovery() throws ConfigException {
        boolean fileTakesPrecedence = isReload && values.fileContains(ConfigKeys.DISCOVERY);
        return values.requiredAddress(
                fileTakesPrecedence ? ConfigValues.NO_VARIABLE : ConfigKeys.DISCOVERY_VARIABLE,
                ConfigKeys.DISCOVERY);
    }

    /** Returns the longest deadline of all request classes, and checks their names. */
    private static double maxDeadlineSeconds(Settings settings, SettingsReader settingsReader)
            throws ConfigException {
        String classesKey = ConfigKeys.SETTINGS_PREFIX + ConfigKeys.REQUEST_CLASSES;
        if (settings.requestClasses().isEmpty()) {
            throw new ConfigException(classesKey, "lists no request class; expected at least one");
        }
        double maxDeadline = 0;
        Set<String> names = new HashSet<>();
        for (int i = 0; i < settings.requestClasses().size(); i++) {
            String prefix = ConfigKeys.itemPrefix(ConfigKeys.REQUEST_CLASSES, i);
            String name = settings.requestClasses().get(i).id().name();
            if (name.isEmpty() || !names.add(name)) {
                throw new ConfigException(
                        ConfigKeys.SETTINGS_PREFIX + prefix + ConfigKeys.CLASS_NAME,
                        name.isEmpty() ? "is missing" : "is another request class's too: " + name);
            }
            double deadline =
                    positiveSeconds(
                            settingsReader,
                            prefix + ConfigKeys.CLASS_DEADLINE,
                            ConfigDefaults.DEADLINE_SECONDS);
            maxDeadline = Math.max(maxDeadline, deadline);
        }
        return maxDeadline;
    }

    private int maxDescriptors() throws ConfigException {
        double descriptors =
                values.fileNumber(ConfigKeys.MAX_DESCRIPTORS, ConfigDefaults.DESCRIPTORS);
        if (!(descriptors >= ConfigDefaults.MIN_DESCRIPTORS)) {
            throw new ConfigException(
                    ConfigKeys.MAX_DESCRIPTORS,
                    "is less than " + ConfigDefaults.MIN_DESCRIPTORS + ": " + descriptors);
        }
        return (int) descriptors;
    }

    /** Returns the memory limit of the process; NaN if the file has none. */
    private double maxMemoryBytes() throws ConfigException {
        double megabytes = values.fileNumber(ConfigKeys.MAX_MEMORY_MEGABYTES, Double.NaN);
        if (megabytes <= 0) {
            throw new ConfigException(
                    ConfigKeys.MAX_MEMORY_MEGABYTES, "is not greater than 0: " + megabytes);
        }
        return megabytes * BYTES_PER_MEGABYTE;
    }

    private static double positiveSeconds(
            SettingsReader settingsReader, String key, double defaultSeconds)
            throws ConfigException {
        double seconds = settingsReader.seconds(key, defaultSeconds);
        if (!(seconds > 0)) {
            throw new ConfigException(
                    ConfigKeys.SETTINGS_PREFIX + key, "is not greater than 0: " + seconds + " s");
        }
        return seconds;
    }

    private long seed() throws ConfigException {
        String seed = file.pairs().getOrDefault(ConfigKeys.SEED, "0");
        try {
            return Long.parseUnsignedLong(seed, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new ConfigException(
                    ConfigKeys.SEED, "is not a hexadecimal number of 1 to 16 digits: " + seed);
        }
    }

    /** Returns the temporary directory, which a successor process shares; null if not set. */
    private Path handoverDirectory() throws ConfigException {
        String directory = values.variable(ConfigKeys.HANDOVER_DIRECTORY_VARIABLE);
        try {
            return directory.isEmpty() ? null : Path.of(directory);
        } catch (InvalidPathException e) {
            throw new ConfigException(
                    ConfigKeys.HANDOVER_DIRECTORY_VARIABLE,
                    "is not a valid path: " + e.getMessage());
        }
    }
}
