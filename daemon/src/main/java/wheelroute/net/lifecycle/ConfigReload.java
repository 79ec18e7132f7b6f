package wheelroute.net.lifecycle;

import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.Config;
import wheelroute.net.discovery.EndpointWatch;

/** Applies what can be applied of a changed configuration while the service runs. */
final class ConfigReload {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigReload.class);

    private final Config config;
    private InetSocketAddress discovery;

    /** Compares with the configuration that the service was started with. */
    ConfigReload(Config config) {
        this.config = config;
        discovery = config.discovery();
    }

    /** Changes the address of discovery; logs other changes, which wait for a restart. */
    void apply(Config fresh, ServiceComponents components) {
        config.keysRequiringRestart(fresh)
                .forEach(key -> LOG.warn("reload: change of '{}' requires a restart", key));
        if (fresh.discovery().equals(discovery)) {
            LOG.info("reload: discovery unchanged at {}", discovery);
            return;
        }
        discovery = fresh.discovery();
        LOG.info("reload: discovery changed to {}", discovery);
        EndpointWatch next = components.newWatch(discovery, EndpointWatch.NO_VERSION);
        components.dispatcher.setWatch(next);
        next.watchUrgently();
    }
}
