package wheelroute.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Settings;
import wheelroute.peers.PeerId;

/** Reads the configuration of gossip with the other dispatchers of the cluster. */
final class PeeringConfigReader {
    private final ConfigValues values;

    PeeringConfigReader(ConfigValues values) {
        this.values = values;
    }

    /**
     * Reads the configuration.
     *
     * @return null unless the file has an address to listen at; a list of peers is not enough,
     *     because some platforms supply one although their dispatchers cannot reach each other
     * @throws ConfigException if a value is missing or invalid
     */
    PeeringConfig read(Settings settings) throws ConfigException {
        if (values.fileText(ConfigKeys.PEERING_LISTEN).isEmpty()) {
            return null;
        }
        List<InetSocketAddress> addresses = addresses(settings.dispatchers());
        if (settings.position() < 0 || settings.position() >= addresses.size()) {
            throw new ConfigException(
                    ConfigKeys.PEERING,
                    "needs this dispatcher's position among the "
                            + addresses.size()
                            + " addresses, but the position is "
                            + settings.position());
        }
        checkPeerName();
        return new PeeringConfig(
                values.fileText(ConfigKeys.PEERING_CLUSTER),
                values.requiredAddress(ConfigValues.NO_VARIABLE, ConfigKeys.PEERING_LISTEN),
                List.copyOf(addresses),
                settings.position());
    }

    private void checkPeerName() throws ConfigException {
        String name = values.required(ConfigKeys.NAME_VARIABLE, ConfigKeys.NAME);
        if (!name.matches("[!-~]{1," + PeerId.MAX_NAME_BYTES + "}")) {
            throw new ConfigException(
                    ConfigKeys.NAME,
                    "is not 1 to "
                            + PeerId.MAX_NAME_BYTES
                            + " printable ASCII characters without spaces, as peering requires: "
                            + name);
        }
    }

    private List<InetSocketAddress> addresses(int dispatcherCount) throws ConfigException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : values.fileText(ConfigKeys.PEERING_ADDRESSES).split(",")) {
            InetSocketAddress address = SocketAddresses.parse(text);
            if (address == null) {
                throw new ConfigException(
                        ConfigKeys.PEERING_ADDRESSES, "has an item that is not host:port: " + text);
            }
            addresses.add(address);
        }
        if (addresses.size() != dispatcherCount) {
            throw new ConfigException(
                    ConfigKeys.PEERING_ADDRESSES,
                    "has "
                            + addresses.size()
                            + " addresses for "
                            + dispatcherCount
                            + " dispatchers");
        }
        return addresses;
    }
}
