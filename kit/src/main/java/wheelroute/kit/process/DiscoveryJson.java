package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.util.Locale;

/** Formats endpoint lists as JSON responses of the discovery protocol. */
public final class DiscoveryJson {
    /**
     * One endpoint of the list.
     *
     * @param state name of the state in the protocol, such as {@code ready}
     * @param startedMillis time at which the process of the endpoint started, in milliseconds; 0 if
     *     unknown
     */
    public record Endpoint(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            String state,
            long startedMillis) {
        /** Returns the entry of the endpoint list as a JSON object. */
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
     * Returns an endpoint list as a JSON object.
     *
     * @param isComplete whether the list contains all endpoints, not only those that have changed
     * @param entries JSON objects of the endpoints
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
