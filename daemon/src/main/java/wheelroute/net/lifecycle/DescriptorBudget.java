package wheelroute.net.lifecycle;

import wheelroute.config.Config;
import wheelroute.net.admin.AdminServer;
import wheelroute.net.clients.ClientServer;
import wheelroute.net.handover.Handover;

/** Divides the file descriptors that the process may use between clients and workers. */
final class DescriptorBudget {
    /**
     * Descriptors reserved for the Java runtime's archives, the selector, the listening socket and
     * discovery, with a margin.
     */
    private static final int RUNTIME_DESCRIPTORS = 40;

    /** The fraction of the remaining descriptors for client connections. */
    private static final double CLIENT_FRACTION = 0.5;

    /**
     * The fraction of the remaining descriptors for connections to workers. The descriptors of
     * neither fraction are for connections that are being closed.
     */
    private static final double WORKER_FRACTION = 0.42;

    private DescriptorBudget() {}

    /** Returns the maximum number of client connections. */
    static int clientConnections(Config config) {
        return (int) (CLIENT_FRACTION * available(config));
    }

    /** Returns the maximum number of open client connections, with those over the limit. */
    static int maxClientConnections(Config config) {
        return ClientServer.maxOpenConnections(clientConnections(config));
    }

    /** Returns the maximum number of connections to workers. */
    static int workerConnections(Config config) {
        return (int) (WORKER_FRACTION * available(config));
    }

    private static int available(Config config) {
        int adminAndHandover =
                config.admin() == null ? 0 : AdminServer.MAX_DESCRIPTORS + Handover.MAX_DESCRIPTORS;
        return config.maxDescriptors() - RUNTIME_DESCRIPTORS - adminAndHandover;
    }
}
