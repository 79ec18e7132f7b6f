package wheelroute.kit.scale;

import java.net.InetSocketAddress;
import wheelroute.config.SocketAddresses;

/**
 * The content of the configuration file of a dispatcher in a scale run.
 *
 * @param discovery address of the stub discovery
 * @param dispatchers number of dispatchers in the deployment
 * @param tenants number of tenants, each with a quota that is never reached
 * @param memoryMb memory limit of the dispatcher
 * @param maxSockets limit of the dispatcher's open sockets
 */
record DispatcherConfigFile(
        InetSocketAddress discovery, int dispatchers, int tenants, int memoryMb, int maxSockets) {
    static final String REQUEST_CLASS = "job";
    private static final int UNREACHED_QUOTA_PER_SECOND = 1_000_000;

    /** Returns the JSON text for a dispatcher with the given name and random seed. */
    String json(String name, long seed) {
        return "{\"name\":\""
                + name
                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + SocketAddresses.format(discovery)
                + "\",\"seed\":\""
                + Long.toHexString(seed)
                + "\",\"limits\":{\"memory_mb\":"
                + memoryMb
                + ",\"sockets\":"
                + maxSockets
                + "},\"settings\":{\"az\":\"z1\",\"balancers\":"
                + dispatchers
                + ",\"permissions\":{\"cancel\":"
                + "true,\"most_tries\":3},\"family_info\":{\"tells_start\":true},\"tenants\":["
                + tenantsJson()
                + "],\"request_classes\":[{\"name\":\""
                + REQUEST_CLASS
                + "\",\"effect\":\"free\",\"on_time_us\":"
                + "100000000,\"hard_limit_us\":3600000000,\"worth\":1}]}}";
    }

    private String tenantsJson() {
        StringBuilder json = new StringBuilder();
        for (int i = 0; i < tenants; i++) {
            json.append(i > 0 ? "," : "")
                    .append("{\"name\":\"t")
                    .append(i)
                    .append("\",\"quota_per_s\":")
                    .append(UNREACHED_QUOTA_PER_SECOND)
                    .append('}');
        }
        return json.toString();
    }
}
