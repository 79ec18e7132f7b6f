package wheelroute.config;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheelroute.decision.Settings;
import wheelroute.peers.PeerId;

/**
 * Reads a dispatcher's configuration from the environment and the file that LB_CONFIG names.
 *
 * <p>At the start, variables of the environment take precedence over the file. On a reload only the
 * file can have changed, so its address of discovery takes precedence then.
 */
public final class ConfigReader {
    private static final int HEX = 16;

    /** The runtime alone needs some thirty descriptors; with fewer than this nothing is served. */
    private static final int MIN_SOCKETS = 64;

    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final double DEFAULT_SOCKETS = 1024;
    private static final double DEFAULT_CONNECT_TIMEOUT = 0.25;
    private static final double DEFAULT_IDLE_TIMEOUT = 30;
    private static final double DEFAULT_DEADLINE = 30;
    private static final String SETTINGS_PREFIX = "settings.";
    private static final String MEMBERSHIP_MODE = "membership_mode";
    private static final String CONNECT_TIMEOUT = "permissions.connect_timeout_us";
    private static final String IDLE_TIMEOUT = "permissions.conn_idle_us";

    private final Map<String, String> environment;
    private final ConfigFile file;
    private final Map<String, String> pairs;
    private final boolean isReload;

    private ConfigReader(Map<String, String> environment, ConfigFile file, boolean isReload) {
        this.environment = environment;
        this.file = file;
        this.pairs = file.pairs();
        this.isReload = isReload;
    }

    /**
     * Reads the configuration of a process that starts.
     *
     * @throws ConfigException if the file or a value cannot be used
     */
    public static Config read(Map<String, String> environment) throws ConfigException {
        return read(environment, false);
    }

    /**
     * Reads the configuration again for a running process.
     *
     * @param environment as at the process's start
     * @throws ConfigException if the file or a value cannot be used
     */
    public static Config reread(Map<String, String> environment) throws ConfigException {
        return read(environment, true);
    }

    private static Config read(Map<String, String> environment, boolean isReload)
            throws ConfigException {
        String path = environment.get("LB_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigException("LB_CONFIG", "is missing: it names the configuration file");
        }
        return new ConfigReader(environment, ConfigFile.read(path), isReload).readConfig();
    }

    private Config readConfig() throws ConfigException {
        Map<String, String> settingsPairs = settingsPairs();
        boolean listIsPushed = "push".equals(settingsPairs.get(MEMBERSHIP_MODE));
        // On sockets the endpoint list must always be polled, whatever the simulator's wire does.
        settingsPairs.put(MEMBERSHIP_MODE, "ask");
        SettingsReader settingsReader = new SettingsReader(settingsPairs);
        Settings settings = settingsReader.readSettings(seed());
        double maxDeadline = maxDeadline(settings, settingsReader);
        int sockets = sockets();
        double memory = memory();
        boolean fileNamesDiscovery = isReload && pairs.containsKey("discovery");
        InetSocketAddress admin = optionalAddress("LB_ADMIN", "admin");
        return new Config(
                value("LB_NAME", "name"),
                address("LB_LISTEN", "listen"),
                address(fileNamesDiscovery ? "" : "LB_DISCOVERY", "discovery"),
                admin,
                admin == null ? null : handoverDirectory(),
                sockets,
                memory,
                file.cachedEndpoints(),
                settings,
                positive(
                        CONNECT_TIMEOUT,
                        settingsReader.seconds(CONNECT_TIMEOUT, DEFAULT_CONNECT_TIMEOUT)),
                positive(IDLE_TIMEOUT, settingsReader.seconds(IDLE_TIMEOUT, DEFAULT_IDLE_TIMEOUT)),
                maxDeadline,
                listIsPushed,
                peering(settings));
    }

    private Map<String, String> settingsPairs() {
        Map<String, String> settingsPairs = new HashMap<>();
        pairs.forEach(
                (key, value) -> {
                    if (key.startsWith(SETTINGS_PREFIX)) {
                        settingsPairs.put(key.substring(SETTINGS_PREFIX.length()), value);
                    }
                });
        return settingsPairs;
    }

    /** Of all request classes; also checks that their names are usable. */
    private static double maxDeadline(Settings settings, SettingsReader settingsReader)
            throws ConfigException {
        if (settings.requestClasses().isEmpty()) {
            throw new ConfigException("settings.request_classes", "names no request class");
        }
        double maxDeadline = 0;
        Set<String> names = new HashSet<>();
        for (int i = 0; i < settings.requestClasses().size(); i++) {
            String name = settings.requestClasses().get(i).id().name();
            if (name.isEmpty() || !names.add(name)) {
                throw new ConfigException(
                        "settings.request_classes." + i + ".name",
                        name.isEmpty() ? "is missing" : "is another request class's too: " + name);
            }
            String key = "request_classes." + i + ".hard_limit_us";
            double deadline = positive(key, settingsReader.seconds(key, DEFAULT_DEADLINE));
            maxDeadline = Math.max(maxDeadline, deadline);
        }
        return maxDeadline;
    }

    private int sockets() throws ConfigException {
        double sockets = new SettingsReader(pairs).number("limits.sockets", DEFAULT_SOCKETS);
        if (!(sockets >= MIN_SOCKETS)) {
            throw new ConfigException("limits.sockets", "is under " + MIN_SOCKETS);
        }
        return (int) sockets;
    }

    /** In bytes; NaN where the file has no limit. */
    private double memory() throws ConfigException {
        double megabytes = new SettingsReader(pairs).number("limits.memory_mb", Double.NaN);
        if (megabytes <= 0) {
            throw new ConfigException("limits.memory_mb", "is not above 0");
        }
        return megabytes * BYTES_PER_MEGABYTE;
    }

    /**
     * Null unless the file has an address to listen on: platforms that list the addresses of peers
     * do not all support it.
     */
    private PeeringConfig peering(Settings settings) throws ConfigException {
        if (pairs.getOrDefault("peering.listen", "").isEmpty()) {
            return null;
        }
        List<InetSocketAddress> addresses = peerAddresses(settings.dispatchers());
        if (settings.position() < 0 || settings.position() >= addresses.size()) {
            throw new ConfigException("peering", "needs this dispatcher's position among them");
        }
        if (!value("LB_NAME", "name").matches("[!-~]{1," + PeerId.MAX_NAME_BYTES + "}")) {
            throw new ConfigException(
                    "name",
                    "is longer than "
                            + PeerId.MAX_NAME_BYTES
                            + " plain characters, which peers need");
        }
        return new PeeringConfig(
                pairs.getOrDefault("peering.cluster", ""),
                address("", "peering.listen"),
                List.copyOf(addresses),
                settings.position());
    }

    private List<InetSocketAddress> peerAddresses(int dispatchers) throws ConfigException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : pairs.getOrDefault("peering.addresses", "").split(",")) {
            InetSocketAddress address = SocketAddresses.parse(text);
            if (address == null) {
                throw new ConfigException(
                        "peering.addresses", "has one that is not host:port: " + text);
            }
            addresses.add(address);
        }
        if (addresses.size() != dispatchers) {
            throw new ConfigException(
                    "peering.addresses",
                    "are " + addresses.size() + " of " + dispatchers + " dispatchers");
        }
        return addresses;
    }

    private static double positive(String settingsKey, double value) throws ConfigException {
        if (!(value > 0)) {
            throw new ConfigException(SETTINGS_PREFIX + settingsKey, "is not above 0");
        }
        return value;
    }

    private long seed() throws ConfigException {
        String seed = pairs.getOrDefault("seed", "0");
        try {
            return Long.parseUnsignedLong(seed, HEX);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "is not up to 16 hex digits: " + seed);
        }
    }

    /** The process's temporary directory, which a successor process shares; null where not set. */
    private Path handoverDirectory() throws ConfigException {
        String directory = environment.getOrDefault("TMPDIR", "");
        try {
            return directory.isEmpty() ? null : Path.of(directory);
        } catch (InvalidPathException e) {
            throw new ConfigException("TMPDIR", "names no directory: " + e.getMessage());
        }
    }

    /** The variable's value, or else the key's in the file; no variable's if its name is empty. */
    private String value(String variable, String key) throws ConfigException {
        String value = environment.getOrDefault(variable, pairs.get(key));
        if (value == null || value.isEmpty()) {
            String alternative = variable.isEmpty() ? "" : " (or " + variable + ")";
            throw new ConfigException(key, "is missing" + alternative);
        }
        return value;
    }

    private InetSocketAddress address(String variable, String key) throws ConfigException {
        String value = value(variable, key);
        InetSocketAddress address = SocketAddresses.parse(value);
        if (address == null) {
            throw new ConfigException(key, "is not host:port: " + value);
        }
        return address;
    }

    /** Null where neither the variable nor the key has a value. */
    private InetSocketAddress optionalAddress(String variable, String key) throws ConfigException {
        return environment.getOrDefault(variable, pairs.getOrDefault(key, "")).isEmpty()
                ? null
                : address(variable, key);
    }
}
