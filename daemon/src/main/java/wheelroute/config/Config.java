package wheelroute.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import wheelroute.decision.Settings;

/**
 * The configuration of one dispatcher. Immutable.
 *
 * @param name identifies this dispatcher among others
 * @param listen address of the server for clients
 * @param discovery address at which the endpoint list is polled
 * @param admin address of the admin server; null for none
 * @param handoverDirectory directory in which a successor process finds its predecessor; null for
 *     no handover
 * @param maxDescriptors maximum number of file descriptors of the process
 * @param maxMemoryBytes maximum size of the process; NaN if not configured
 * @param cachedEndpoints the endpoint list to start with, as JSON in the format of discovery; null
 *     for none
 * @param settings settings of the dispatch decisions
 * @param connectTimeoutSeconds timeout for connecting to a worker
 * @param idleTimeoutSeconds time after which workers close an idle connection
 * @param maxTimeoutSeconds maximum of the deadlines of all request classes
 * @param listIsPushed whether discovery pushes changes of the endpoint list to its agent at this
 *     dispatcher; a change then counts as received once the agent has it, even before it is polled
 * @param peers configuration of gossip with other dispatchers; null for none
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress admin,
        Path handoverDirectory,
        int maxDescriptors,
        double maxMemoryBytes,
        byte[] cachedEndpoints,
        Settings settings,
        double connectTimeoutSeconds,
        double idleTimeoutSeconds,
        double maxTimeoutSeconds,
        boolean listIsPushed,
        PeeringConfig peers) {
    private static final String SETTINGS_KEY = "settings";

    /** Returns the keys whose values differ in the other configuration and require a restart. */
    public List<String> keysRequiringRestart(Config other) {
        List<String> keys = new ArrayList<>();
        addIfDifferent(keys, ConfigKeys.NAME, name, other.name);
        addIfDifferent(keys, ConfigKeys.LISTEN, listen, other.listen);
        addIfDifferent(keys, ConfigKeys.ADMIN, admin, other.admin);
        addIfDifferent(keys, ConfigKeys.MAX_DESCRIPTORS, maxDescriptors, other.maxDescriptors);
        addIfDifferent(keys, ConfigKeys.MAX_MEMORY_MEGABYTES, maxMemoryBytes, other.maxMemoryBytes);
        addIfDifferent(keys, SETTINGS_KEY, settings, other.settings.withSeed(settings.seed()));
        addIfDifferent(
                keys,
                settingsKey(ConfigKeys.CONNECT_TIMEOUT),
                connectTimeoutSeconds,
                other.connectTimeoutSeconds);
        addIfDifferent(
                keys,
                settingsKey(ConfigKeys.IDLE_TIMEOUT),
                idleTimeoutSeconds,
                other.idleTimeoutSeconds);
        addIfDifferent(
                keys, settingsKey(ConfigKeys.ENDPOINT_LIST_MODE), listIsPushed, other.listIsPushed);
        addIfDifferent(keys, ConfigKeys.PEERING, peers, other.peers);
        addIfDifferent(
                keys,
                settingsKey(ConfigKeys.REQUEST_CLASSES),
                maxTimeoutSeconds,
                other.maxTimeoutSeconds);
        return keys;
    }

    private static String settingsKey(String key) {
        return ConfigKeys.SETTINGS_PREFIX + key;
    }

    private static void addIfDifferent(
            List<String> keys, String key, Object value, Object otherValue) {
        if (!Objects.equals(value, otherValue)) {
            keys.add(key);
        }
    }
}
