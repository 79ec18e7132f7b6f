package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.Scenario;

/**
 * What the processes of a fleet are started with.
 *
 * @param settings of all dispatchers
 * @param jar the build to start; null for that of this kit
 * @param olderJar the build to start where a scenario asks for an older one; null for none
 * @param discoveryAddresses by dispatcher number
 * @param peerAddresses of all dispatchers, as the dispatcher of this number reaches them
 */
record FleetSpec(
        Scenario scenario,
        SeededRandom random,
        Map<String, String> settings,
        Path jar,
        Path olderJar,
        IntFunction<InetSocketAddress> discoveryAddresses,
        IntFunction<List<String>> peerAddresses) {}
