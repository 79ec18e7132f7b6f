import java.net.InetSocketAddress;

/** The configuration of a dispatcher, as the deployment page has it. */
final class Config {
    private Config() {}

    static String json(
            String name, InetSocketAddress listen, String discovery, String admin, int memoryMb, int sockets,
            String known, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen.getPort()
                + "\",\"discovery\":\"" + discovery + "\""
                + (admin == null ? "" : ",\"admin\":\"" + admin + "\"")
                + ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    static String requestClass(
            String name, String effect, String group, long onTimeUs, long limitUs, double worth,
            long windowUs, boolean oneAtATime) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group
                + "\",\"on_time_us\":" + onTimeUs + ",\"hard_limit_us\":" + limitUs + ",\"worth\":" + worth
                + ",\"late_value\":0.3,\"streamed\":false,\"window_us\":" + windowUs
                + (oneAtATime ? ",\"one_at_a_time\":true" : "") + "}";
    }
}
