package wheelroute.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import wheelroute.decision.Settings;

/**
 * The configuration of one dispatcher. Times in seconds.
 *
 * @param name identifies the dispatcher to others
 * @param listen where clients connect
 * @param discovery where the endpoint list is polled
 * @param admin where the admin server listens; null for no admin server
 * @param handoverDirectory the handover directory, in which an old and a new process of one
 *     dispatcher find each other; null for no handover
 * @param maxDescriptors the maximum number of file descriptors of the process
 * @param maxMemoryBytes the maximum size of the process in bytes; NaN if unknown
 * @param cachedEndpoints the cached endpoint list, as JSON in discovery's form; null for none
 * @param settings of the decisions
 * @param connectTimeoutSeconds timeout for connecting to a worker
 * @param idleTimeoutSeconds workers close connections that have been idle for this long
 * @param maxTimeoutSeconds the maximum deadline of all request classes
 * @param listIsPushed whether watch events that discovery's agent has received count as received by
 *     this dispatcher, even before it polls for them
 * @param peers communication with other dispatchers; null for none
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
    private static final String CONNECT_TIMEOUT_KEY = "settings.permissions.connect_timeout_us";
    private static final String IDLE_TIMEOUT_KEY = "settings.permissions.conn_idle_us";

    /** The keys whose values differ in the other configuration but apply only after a restart. */
    public List<String> keysRequiringRestart(Config other) {
        List<String> keys = new ArrayList<>();
        addIfDifferent(keys, "name", name, other.name);
        addIfDifferent(keys, "listen", listen, other.listen);
        addIfDifferent(keys, "admin", admin, other.admin);
        addIfDifferent(keys, "limits.sockets", maxDescriptors, other.maxDescriptors);
        addIfDifferent(keys, "limits.memory_mb", maxMemoryBytes, other.maxMemoryBytes);
        addIfDifferent(keys, "settings", settings, other.settings.withSeed(settings.seed()));
        addIfDifferent(
                keys, CONNECT_TIMEOUT_KEY, connectTimeoutSeconds, other.connectTimeoutSeconds);
        addIfDifferent(keys, IDLE_TIMEOUT_KEY, idleTimeoutSeconds, other.idleTimeoutSeconds);
        addIfDifferent(keys, "settings.membership_mode", listIsPushed, other.listIsPushed);
        addIfDifferent(keys, "peering", peers, other.peers);
        addIfDifferent(
                keys, "settings.request_classes", maxTimeoutSeconds, other.maxTimeoutSeconds);
        return keys;
    }

    private static void addIfDifferent(
            List<String> keys, String key, Object value, Object otherValue) {
        if (!Objects.equals(value, otherValue)) {
            keys.add(key);
        }
    }
}
