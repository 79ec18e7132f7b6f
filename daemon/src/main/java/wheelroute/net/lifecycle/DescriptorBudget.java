package wheelroute.net.lifecycle;

import wheelroute.config.Config;
import wheelroute.net.admin.AdminServer;
import wheelroute.net.handover.Handover;

/** Divides the file descriptors that the process may use between clients and workers. */
final class DescriptorBudget {
    /**
     * Descriptors of the runtime: its archives, the selector, the listening socket, discovery; and
     * slack.
     */
    private static final int RUNTIME_DESCRIPTORS = 40;

    /** Of the others; what neither has is for connections that are being closed. */
    private static final double CLIENT_FRACTION = 0.5;

    private static final double WORKER_FRACTION = 0.42;

    private DescriptorBudget() {}

    /** How many connections of clients there may be. */
    static int clientConnections(Config config) {
        return (int) (CLIENT_FRACTION * available(config));
    }

    /** How many connections to workers there may be. */
    static int workerConnections(Config config) {
        return (int) (WORKER_FRACTION * available(config));
    }

    private static int available(Config config) {
        int administrative =
                config.admin() == null ? 0 : AdminServer.DESCRIPTORS + Handover.DESCRIPTORS;
        return config.maxDescriptors() - RUNTIME_DESCRIPTORS - administrative;
    }
}
