package wheelroute.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import wheelroute.decision.Settings;

/**
 * What one dispatcher is told. Times in seconds.
 *
 * @param admin where operators call; null for nowhere
 * @param meeting the directory in which processes of one dispatcher find each other; null where
 *     none is to
 * @param sockets how many descriptors the process may hold
 * @param memory how many bytes the process may take; NaN when not told
 * @param known the remembered list of workers, as the JSON that discovery would send; null for none
 * @param connectLimit a connection that is not up after this is given up
 * @param idleLimit a worker closes a connection that has been idle so long
 * @param longestOuterLimit no submission waits longer
 * @param listIsPushed what discovery's agent knows counts as told, whether or not it was asked for
 * @param peers how it knows the other dispatchers; null where it does not
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress admin,
        Path meeting,
        int sockets,
        double memory,
        byte[] known,
        Settings settings,
        double connectLimit,
        double idleLimit,
        double longestOuterLimit,
        boolean listIsPushed,
        PeeringConfig peers) {
    /** The keys by which another configuration differs in what is used only at the start. */
    public List<String> waitingForRestart(Config other) {
        List<String> keys = new ArrayList<>();
        differs(keys, "name", name, other.name);
        differs(keys, "listen", listen, other.listen);
        differs(keys, "admin", admin, other.admin);
        differs(keys, "limits.sockets", sockets, other.sockets);
        differs(keys, "limits.memory_mb", memory, other.memory);
        differs(keys, "settings", settings, other.settings.withSeed(settings.seed()));
        differs(keys, "settings.permissions.connect_timeout_us", connectLimit, other.connectLimit);
        differs(keys, "settings.permissions.conn_idle_us", idleLimit, other.idleLimit);
        differs(keys, "settings.membership_mode", listIsPushed, other.listIsPushed);
        differs(keys, "peering", peers, other.peers);
        differs(keys, "settings.request_classes", longestOuterLimit, other.longestOuterLimit);
        return keys;
    }

    private static void differs(List<String> keys, String key, Object one, Object other) {
        if (!Objects.equals(one, other)) {
            keys.add(key);
        }
    }
}
