package wheelroute;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;

/**
 * Starts dispatcher processes for tests that load them: with one request class "job", with a
 * discovery that never responds, and with the smallest heap that {@code deploy/run.sh} gives.
 */
final class LoadedProcess {
    private static final int HEAP_MEGABYTES = 16;

    private LoadedProcess() {}

    /**
     * Starts a process. All that has to be closed is added to the resources.
     *
     * @param workers the ports of the workers
     * @param classLimits the objective and the limit of the request class, as JSON fields
     * @param permissions the permissions, as JSON fields
     */
    static DispatcherProcess start(
            Collection<AutoCloseable> resources,
            int descriptors,
            List<Integer> workers,
            String classLimits,
            String permissions)
            throws Exception {
        ServerSocket discovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        resources.add(discovery);
        Path directory = Files.createTempDirectory("wheelroute");
        resources.add(() -> deleteConfig(directory));
        String config =
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                        + discovery.getLocalPort()
                        + "\",\"limits\":{\"sockets\":"
                        + descriptors
                        + "},\"known\":{\"version\":5,\"full\":true,\"servers\":["
                        + entries(workers)
                        + "]},\"settings\":{\"request_classes\":[{\"name\":\"job\","
                        + "\"effect\":\"free\",\"worth\":1,"
                        + classLimits
                        + "}],\"permissions\":{\"connect_timeout_us\":500000,"
                        + permissions
                        + "}}}";
        DispatcherProcess process =
                DispatcherProcess.start(directory, config, descriptors, HEAP_MEGABYTES);
        resources.add(process);
        return process;
    }

    private static String entries(List<Integer> workers) {
        StringBuilder entries = new StringBuilder();
        for (int port : workers) {
            entries.append(entries.length() == 0 ? "" : ",")
                    .append("{\"id\":\"w" + port + "\",\"addr\":\"127.0.0.1:" + port + "\",")
                    .append("\"zone\":\"here\",\"kind\":\"m\",\"cell\":1,\"state\":\"ready\"}");
        }
        return entries.toString();
    }

    private static void deleteConfig(Path directory) throws IOException {
        Files.deleteIfExists(directory.resolve("config.json"));
    }
}
