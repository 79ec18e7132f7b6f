package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.util.Locale;

/** Writes the endpoint list as discovery sends it. */
public final class DiscoveryJson {
    /**
     * One endpoint.
     *
     * @param state in the words of the protocol
     * @param startedMillis when its process started; 0 if that is unknown
     */
    public record Endpoint(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            String state,
            long startedMillis) {
        /** Returns the entry of the list. */
        public String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"id\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"kind\":\"%s\","
                            + "\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
                    id,
                    address.getAddress().getHostAddress(),
                    address.getPort(),
                    zone,
                    kind,
                    cell,
                    state,
                    startedMillis);
        }
    }

    private DiscoveryJson() {}

    /**
     * Returns a list.
     *
     * @param isComplete whether all endpoints are in it, not only those that changed
     */
    public static String list(long version, boolean isComplete, Iterable<String> entries) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + isComplete
                + ",\"servers\":["
                + String.join(",", entries)
                + "]}";
    }
}
