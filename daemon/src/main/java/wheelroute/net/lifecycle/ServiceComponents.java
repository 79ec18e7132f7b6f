package wheelroute.net.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.net.admin.AdminServer;
import wheelroute.net.admin.ServiceStatus;
import wheelroute.net.clients.ClientServer;
import wheelroute.net.discovery.EndpointList;
import wheelroute.net.discovery.EndpointWatch;
import wheelroute.net.handover.Handover;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.memory.HeapBudget;
import wheelroute.net.metrics.Counters;
import wheelroute.net.peers.MembershipService;
import wheelroute.net.requests.RequestDispatcher;
import wheelroute.net.workers.WorkerConnectionPools;

/**
 * Creates the components of one dispatcher and connects them. Confined to the event loop's thread.
 */
final class ServiceComponents {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceComponents.class);

    final RequestDispatcher dispatcher;
    final ClientServer clients;

    /** The admin server; null if no address is configured for it. */
    final AdminServer admin;

    /** The handover to a successor process; null if no handover directory is configured. */
    final Handover handover;

    /**
     * The membership of the dispatchers; null if this dispatcher does not communicate with others.
     */
    final MembershipService membership;

    private final Config config;
    private final EventLoop loop;
    private final Counters counters;

    /**
     * Creates all components. The admin server starts to listen at once; clients are accepted only
     * after {@link #listen}.
     *
     * @throws ConfigException if a configured value cannot be used, such as an address in use
     */
    ServiceComponents(
            Config config,
            EventLoop loop,
            Counters counters,
            HeapBudget heapBudget,
            WorkerConnectionPools workers,
            ServiceStatus status,
            Handover.Listener handoverListener)
            throws ConfigException {
        this.config = config;
        this.loop = loop;
        this.counters = counters;
        dispatcher =
                new RequestDispatcher(
                        loop,
                        counters,
                        workers,
                        config.settings(),
                        config.maxTimeoutSeconds(),
                        heapBudget.attemptHistoryBytes(),
                        DescriptorBudget.clientConnections(config));
        dispatcher.setWatch(newWatch(config.discovery(), importCachedEndpoints()));
        clients =
                new ClientServer(
                        loop,
                        dispatcher,
                        counters,
                        heapBudget,
                        DescriptorBudget.clientConnections(config));
        dispatcher.setClients(clients);
        admin = config.admin() == null ? null : openAdminServer(status);
        handover = config.handoverDirectory() == null ? null : newHandover(handoverListener);
        dispatcher.setHandover(handover);
        membership = config.peers() == null ? null : newMembershipService();
        if (membership != null) {
            dispatcher.setShares(membership);
        }
    }

    /**
     * Creates an endpoint watch that is not started yet.
     *
     * @param version the version of the list already known, or {@link EndpointWatch#NO_VERSION}
     */
    EndpointWatch newWatch(InetSocketAddress discovery, long version) {
        EndpointWatch.WatchOptions options =
                new EndpointWatch.WatchOptions(
                        config.settings().seed(),
                        config.settings().dispatchers(),
                        config.listIsPushed());
        return new EndpointWatch(loop, discovery, counters, dispatcher, version, options);
    }

    /**
     * Imports the configured endpoint list. Returns its version, or {@link
     * EndpointWatch#NO_VERSION} if no list is configured.
     */
    private long importCachedEndpoints() throws ConfigException {
        if (config.cachedEndpoints() == null) {
            return EndpointWatch.NO_VERSION;
        }
        EndpointList cached;
        try {
            cached = EndpointList.decode(config.cachedEndpoints());
        } catch (IOException e) {
            throw new ConfigException("known", "is not a valid endpoint list: " + e.getMessage());
        }
        dispatcher.onEndpoints(cached);
        return cached.version();
    }

    private AdminServer openAdminServer(ServiceStatus status) throws ConfigException {
        AdminServer server = new AdminServer(loop, status);
        try {
            server.listen(config.admin());
        } catch (IOException e) {
            throw new ConfigException("admin", "cannot be used: " + e.getMessage());
        }
        LOG.info("admin server listening on {}:{}", config.admin().getHostString(), server.port());
        return server;
    }

    private Handover newHandover(Handover.Listener listener) {
        String name = config.name() + " " + config.listen();
        return new Handover(
                loop, config.handoverDirectory(), name, dispatcher.transferableState(), listener);
    }

    private MembershipService newMembershipService() throws ConfigException {
        try {
            return new MembershipService(
                    loop,
                    config.peers(),
                    config.name(),
                    config.settings().seed(),
                    config.handoverDirectory() != null);
        } catch (IOException e) {
            throw new ConfigException("peering.listen", "cannot be used: " + e.getMessage());
        }
    }

    /**
     * Starts to accept clients, possibly while another process of this dispatcher accepts clients,
     * too.
     *
     * @throws ConfigException if the address cannot be used
     */
    void listen() throws ConfigException {
        try {
            // The address is shared if a successor process may listen on it, too, which requires an
            // admin server.
            clients.listen(config.listen(), config.admin() != null);
        } catch (IOException e) {
            throw new ConfigException("listen", "cannot be used: " + e.getMessage());
        }
        // The actual port is logged, because a configured port 0 lets the operating system choose.
        LOG.info(
                "{} listens on {}:{}",
                config.name(),
                config.listen().getHostString(),
                clients.port());
    }
}
