package wheelroute.kit.scale;

import java.net.InetSocketAddress;
import wheelroute.config.SocketAddresses;

/**
 * What one dispatcher of a scale run is told, in the platform's form.
 *
 * @param dispatchers how many there are, itself among them
 * @param tenants with a quota that none of them reaches
 */
record DispatcherConfigFile(
        InetSocketAddress discovery, int dispatchers, int tenants, int memoryMb, int sockets) {
    static final String OFFERING = "job";
    private static final int QUOTA = 1_000_000;

    String config(String name, long seed) {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < tenants; i++) {
            rows.append(i > 0 ? "," : "")
                    .append("{\"name\":\"t")
                    .append(i)
                    .append("\",\"quota_per_s\":")
                    .append(QUOTA)
                    .append('}');
        }
        return "{\"name\":\""
                + name
                + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + SocketAddresses.format(discovery)
                + "\",\"seed\":\""
                + Long.toHexString(seed)
                + "\",\"limits\":{\"memory_mb\":"
                + memoryMb
                + ",\"sockets\":"
                + sockets
                + "},\"settings\":{\"az\":\"z1\",\"balancers\":"
                + dispatchers
                + ",\"permissions\":{\"cancel\":"
                + "true,\"most_tries\":3},\"family_info\":{\"tells_start\":true},\"tenants\":["
                + rows
                + "],\"request_classes\":[{\"name\":\""
                + OFFERING
                + "\",\"effect\":\"free\",\"on_time_us\":"
                + "100000000,\"hard_limit_us\":3600000000,\"worth\":1}]}}";
    }
}
