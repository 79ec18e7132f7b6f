package wheelroute.net.lifecycle;

import wheelroute.config.Config;
import wheelroute.net.admin.AdminServer;
import wheelroute.net.handover.Handover;

/** Divides the file descriptors that the process may use between clients and workers. */
final class DescriptorBudget {
    /**
     * Descriptors of the Java runtime's archives, the selector, the listening socket and discovery,
     * and some to spare.
     */
    private static final int RUNTIME_DESCRIPTORS = 40;

    /** Of the remaining descriptors; those of neither fraction are for connections that close. */
    private static final double CLIENT_FRACTION = 0.5;

    private static final double WORKER_FRACTION = 0.42;

    private DescriptorBudget() {}

    /** Returns the maximum number of client connections. */
    static int clientConnections(Config config) {
        return (int) (CLIENT_FRACTION * available(config));
    }

    /** Returns the maximum number of connections to workers. */
    static int workerConnections(Config config) {
        return (int) (WORKER_FRACTION * available(config));
    }

    private static int available(Config config) {
        int administrative =
                config.admin() == null ? 0 : AdminServer.DESCRIPTORS + Handover.DESCRIPTORS;
        return config.maxDescriptors() - RUNTIME_DESCRIPTORS - administrative;
    }
}
