package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.Scenario;

/**
 * Parameters with which the processes of a fleet are started.
 *
 * @param settings settings that all dispatchers have in common, by path
 * @param jar build to start; null for the build of this kit
 * @param olderJar build to start where a fault of the scenario requests an older one; null for none
 * @param discoveryAddresses address of discovery as each dispatcher reaches it, by dispatcher
 *     number
 * @param peerAddresses gossip addresses of all dispatchers as each dispatcher reaches them, by
 *     dispatcher number
 */
record FleetSpec(
        Scenario scenario,
        SeededRandom random,
        Map<String, String> settings,
        Path jar,
        Path olderJar,
        IntFunction<InetSocketAddress> discoveryAddresses,
        IntFunction<List<String>> peerAddresses) {}
