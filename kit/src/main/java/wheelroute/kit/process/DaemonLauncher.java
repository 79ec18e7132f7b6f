package wheelroute.kit.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.DaemonConfigFile;
import wheelroute.kit.scenario.DaemonSettings;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.Scenario;

/** Writes the configuration of dispatchers and starts their processes. */
final class DaemonLauncher {
    // Same heap size as deploy/run.sh sets, without the part that it adds for an admin server.
    private static final int MIN_HEAP_MB = 16;
    private static final int MAX_HEAP_MB = 96;
    private static final int NON_HEAP_MB = 45;

    private final FleetSpec spec;
    private final ProcessSupervisor supervisor;

    DaemonLauncher(FleetSpec spec, ProcessSupervisor supervisor) {
        this.spec = spec;
        this.supervisor = supervisor;
    }

    /**
     * Writes a new configuration file and starts a process of a dispatcher with it.
     *
     * @param mode selects the build and the settings of the process
     * @throws IOException if the configuration cannot be written or the process cannot be started
     */
    DaemonProcess start(DispatcherSlot slot, FaultMode mode, DaemonProcess.Listener listener)
            throws IOException {
        Path config = writeConfig(slot, mode);
        boolean isOlder = mode == FaultMode.OLDER_BUILD && spec.olderJar() != null;
        return DaemonProcess.start(
                new DaemonProcess.Spec(
                        slot.name(),
                        config,
                        spec.discoveryAddresses().apply(slot.number()),
                        slot.port(),
                        slot.directory(),
                        isOlder ? spec.olderJar() : spec.jar(),
                        heapMb()),
                supervisor,
                listener);
    }

    private Path writeConfig(DispatcherSlot slot, FaultMode mode) throws IOException {
        Scenario scenario = spec.scenario();
        Map<String, String> settings =
                DaemonSettings.settingsOfDispatcher(scenario, slot.number(), spec.settings());
        if (mode == FaultMode.CHANGED_SETTINGS) {
            settings.putAll(scenario.changedSettings());
        }
        Path config = slot.directory().resolve("config-" + slot.starts() + ".json");
        long seed =
                spec.random().seedOf(SeededRandom.Purpose.STRATEGY, slot.number(), slot.starts());
        slot.onStart();
        Files.writeString(
                config,
                new DaemonConfigFile(
                                slot.name(),
                                seed,
                                scenario.limits(),
                                settings,
                                spec.peerAddresses().apply(slot.number()))
                        .text());
        return config;
    }

    private int heapMb() {
        int available = spec.scenario().limits().memoryMb() - NON_HEAP_MB;
        return Math.max(MIN_HEAP_MB, Math.min(MAX_HEAP_MB, available));
    }
}
