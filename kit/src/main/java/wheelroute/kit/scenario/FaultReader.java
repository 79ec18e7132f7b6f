package wheelroute.kit.scenario;

import java.util.List;
import wheelroute.config.TomlFields;

/** Reads the faults of a scenario file and checks each against the rest of the scenario. */
final class FaultReader {
    private static final int MAX_FAULTS_PER_CYCLE = 100;
    private static final int MAX_PICK = 1000;
    private static final double DEFAULT_MAX_DURATION_SECONDS = 4;

    private final double cycleSeconds;
    private final List<Scenario.WorkerGroup> groups;
    private final List<String> dispatcherZones;
    private final boolean allowsVirtualClock;

    /**
     * Creates a reader of the faults of one scenario.
     *
     * @param allowsVirtualClock whether the scenario can run on the virtual clock
     */
    FaultReader(
            double cycleSeconds,
            List<Scenario.WorkerGroup> groups,
            List<String> dispatcherZones,
            boolean allowsVirtualClock) {
        this.cycleSeconds = cycleSeconds;
        this.groups = groups;
        this.dispatcherZones = dispatcherZones;
        this.allowsVirtualClock = allowsVirtualClock;
    }

    Scenario.Fault fault(TomlFields fields) {
        FaultKind kind = ScenarioFields.constant(fields, "kind", null, FaultKind.class);
        String group = fields.text("group", "");
        if (!group.isEmpty() && groups.stream().noneMatch(each -> each.name().equals(group))) {
            fields.addError("group", "is not the name of a worker group: " + group);
        }
        Scenario.Fault fault = fault(fields, kind, group);
        checkTimes(fields, fault);
        checkLinks(fields, fault);
        checkTargets(fields, fault);
        checkMode(fields, fault);
        return fault;
    }

    private Scenario.Fault fault(TomlFields fields, FaultKind kind, String group) {
        return new Scenario.Fault(
                kind,
                fields.number("at", ScenarioFields.REQUIRED, 0, cycleSeconds),
                fields.number("for", ScenarioFields.REQUIRED, 0.01, ScenarioFields.MAX_SECONDS),
                group,
                fields.number("share", 1, 0, 1),
                fields.number("level", kind.defaultLevel(), kind.minLevel(), kind.maxLevel()),
                fields.integer("pick", 0, 0, MAX_PICK),
                fields.number("within", 0, 0, ScenarioFields.MAX_SECONDS),
                ScenarioFields.constant(fields, "to", LinkKind.WORKERS, LinkKind.class),
                fields.text("zone", ""),
                fields.text("from", ""),
                fields.number("spread", 0, 0, 60),
                ScenarioFields.constant(fields, "how", FaultMode.UNCHANGED, FaultMode.class),
                fields.number("others", 1, 0, 1));
    }

    private void checkTimes(TomlFields fields, Scenario.Fault fault) {
        if (fault.endSeconds() > cycleSeconds) {
            fields.addError(
                    "for",
                    "makes the fault end at "
                            + fault.endSeconds()
                            + " s, after the end of the cycle at "
                            + cycleSeconds
                            + " s");
        }
        if (fault.startSpreadSeconds() > 0 && !fault.kind().affectsDispatchers()) {
            fields.addError(
                    "within",
                    "is allowed only for faults of dispatchers, not for " + fault.kind().key());
        }
    }

    private static void checkLinks(TomlFields fields, Scenario.Fault fault) {
        FaultKind kind = fault.kind();
        if (fields.contains("to")
                && (!kind.affectsLinks() || kind == FaultKind.DISCOVERY_LINK_CUT)) {
            fields.addError("to", "is allowed only for faults of links, not for " + kind.key());
        }
        if (kind == FaultKind.LINK_DUPLICATION && fault.linkKind() != LinkKind.PEERS) {
            fields.addError("kind", "requires to = \"peers\", got " + fault.linkKind().key());
        }
    }

    private void checkTargets(TomlFields fields, Scenario.Fault fault) {
        if (!fault.workerZone().isEmpty() && groups.stream().noneMatch(fault::affects)) {
            fields.addError("zone", "is not a zone of the selected workers: " + fault.workerZone());
        }
        if (fault.dispatcherZone().isEmpty()) {
            return;
        }
        if (!fault.kind().affectsDispatchers()) {
            fields.addError(
                    "from",
                    "is allowed only for faults of dispatchers, not for " + fault.kind().key());
        } else if (!dispatcherZones.contains(fault.dispatcherZone())) {
            fields.addError("from", "is not one of run.zones: " + fault.dispatcherZone());
        }
    }

    private void checkMode(TomlFields fields, Scenario.Fault fault) {
        FaultKind kind = fault.kind();
        if (!kind.allowedModes().contains(fault.mode())) {
            fields.addError(
                    "how", "is not supported for " + kind.key() + ": " + fault.mode().key());
        }
        if (kind.needsProcesses() && allowsVirtualClock) {
            fields.addError(
                    "kind", "cannot be simulated, so run.clocks must be [\"real\"]: " + kind.key());
        }
    }

    Scenario.RandomFaults randomFaults(TomlFields fields) {
        List<FaultKind> allowed = FaultScheduleGenerator.eligibleKinds(!allowsVirtualClock);
        List<String> allowedKeys = allowed.stream().map(FaultKind::key).toList();
        List<String> keys = fields.textList("kinds", allowedKeys, allowedKeys);
        double minSeconds = FaultScheduleGenerator.MIN_DURATION_SECONDS;
        Scenario.RandomFaults randomFaults =
                new Scenario.RandomFaults(
                        fields.integer("faults", 0, 0, MAX_FAULTS_PER_CYCLE),
                        fields.number(
                                "longest",
                                Math.min(DEFAULT_MAX_DURATION_SECONDS, cycleSeconds / 2),
                                minSeconds,
                                Math.max(minSeconds, cycleSeconds / 2)),
                        allowed.stream().filter(kind -> keys.contains(kind.key())).toList());
        return randomFaults.countPerCycle() == 0 ? Scenario.RandomFaults.NONE : randomFaults;
    }
}
