package wheelroute.net.lifecycle;

import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wheelroute.config.Config;
import wheelroute.net.discovery.EndpointWatch;

/**
 * Applies a changed configuration to the running service as far as possible without a restart.
 * Confined to the event loop's thread.
 */
final class ConfigReload {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigReload.class);

    /** The configuration that the service was started with. */
    private final Config config;

    /** The address of discovery that is currently in use. */
    private InetSocketAddress discovery;

    ConfigReload(Config config) {
        this.config = config;
        discovery = config.discovery();
    }

    /**
     * Applies a change of discovery's address. Any other change requires a restart and is only
     * logged.
     */
    void apply(Config newConfig, ServiceComponents components) {
        config.keysRequiringRestart(newConfig)
                .forEach(key -> LOG.warn("reload: change of '{}' requires a restart", key));
        if (newConfig.discovery().equals(discovery)) {
            LOG.info("reload: discovery unchanged at {}", discovery);
            return;
        }
        discovery = newConfig.discovery();
        LOG.info("reload: discovery changed to {}", discovery);
        components.dispatcher.replaceWatch(
                components.newWatch(discovery, EndpointWatch.NO_VERSION));
    }
}
