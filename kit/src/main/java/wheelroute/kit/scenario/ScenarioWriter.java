package wheelroute.kit.scenario;

import wheelroute.config.TomlFields;

/** Writes a scenario as a file from which {@link ScenarioReader} reads an equal scenario. */
public final class ScenarioWriter {
    private final TomlWriter toml = new TomlWriter();

    private ScenarioWriter() {}

    /** Returns the content of the TOML file. */
    public static String text(Scenario scenario) {
        ScenarioWriter writer = new ScenarioWriter();
        writer.write(scenario);
        return writer.toml.text();
    }

    private void write(Scenario scenario) {
        toml.text("title", scenario.title());
        writeRun(scenario);
        writeLimits(scenario.limits());
        scenario.groups().forEach(this::write);
        scenario.requestClasses().forEach(this::write);
        scenario.tenants().forEach(this::write);
        scenario.load().forEach(this::write);
        write(scenario.clients());
        write(scenario.network());
        write(scenario.terms());
        scenario.faults().forEach(this::write);
        write(scenario.randomFaults());
        toml.texts("daemon", scenario.settingOverrides());
        toml.texts("changed", scenario.changedSettings());
        scenario.expectations().forEach(this::write);
    }

    private void writeRun(Scenario scenario) {
        toml.table("run")
                .number("seconds", scenario.durationSeconds())
                .number("cycle", scenario.cycleSeconds())
                .texts("clocks", scenario.clocks())
                .number("dispatchers", scenario.dispatcherCount())
                .texts("zones", scenario.zones())
                .flag("peers", scenario.peersEnabled());
    }

    private void writeLimits(Scenario.Limits limits) {
        toml.table("limits")
                .number("memory_mb", limits.memoryMb())
                .number("sockets", limits.sockets());
    }

    private void write(Scenario.WorkerGroup group) {
        toml.arrayTable("workers")
                .text("name", group.name())
                .text("model", group.model())
                .number("count", group.count())
                .number("slots", group.slots())
                .number("speed", group.speed())
                .text("zone", group.zone())
                .number("queue", group.queueCapacity())
                .number("memory", group.memoryCapacity())
                .number("cold_share", group.slowStartFraction())
                .number("cold_for", group.slowStartDurationSeconds())
                .number("tip_multiple", group.overloadMultiple())
                .number("tip_window", group.overloadWindowSeconds())
                .number("tip_request", group.overloadMeanWorkSeconds());
    }

    private void write(Scenario.RequestClass requestClass) {
        toml.arrayTable("offerings")
                .text("name", requestClass.name())
                .text("effect", TomlFields.configuredName(requestClass.idempotency()))
                .text("group", TomlFields.configuredName(requestClass.idempotencyScope()))
                .number("share", requestClass.share())
                .number("work", requestClass.meanWorkSeconds())
                .number("spread", requestClass.workSpread())
                .number("hint_error", requestClass.estimateError())
                .number("quoted", requestClass.latencyObjectiveSeconds())
                .number("stretch", requestClass.objectivePerWork())
                .number("outer", requestClass.deadlineSeconds())
                .number("value", requestClass.priorityWeight())
                .number("late_value", requestClass.lateValue())
                .number("window", requestClass.idempotencyWindowSeconds())
                .number("slots", requestClass.slots())
                .number("memory", requestClass.memory());
    }

    private void write(Scenario.Tenant tenant) {
        toml.arrayTable("tenants")
                .text("name", tenant.name())
                .number("share", tenant.share())
                .number("quota", tenant.quota());
    }

    private void write(Scenario.LoadPoint point) {
        toml.arrayTable("load")
                .number("at", point.atSeconds())
                .number("rate", point.requestsPerSecond());
    }

    private void write(Scenario.Clients clients) {
        toml.table("clients")
                .number("retries", clients.maxRetries())
                .number("pause", clients.retryDelaySeconds())
                .number("least_wait", clients.minTimeoutSeconds())
                .number("impatient", clients.cancelFraction())
                .number("fresh", clients.newConnectionFraction())
                .number("writes", clients.writePauseSeconds());
    }

    private void write(Scenario.Network network) {
        toml.table("network")
                .number("delay", network.delaySeconds())
                .number("jitter", network.jitterSeconds());
    }

    private void write(Scenario.PlatformProperties terms) {
        toml.table("terms")
                .flag("tells_start", terms.reportsStart())
                .number("progress_every", terms.progressIntervalSeconds())
                .flag("may_cancel", terms.mayCancel())
                .flag("may_copy", terms.mayHedge())
                .number("most_launches", terms.maxAttempts())
                .flag("retry_after", terms.sendsRetryAfter())
                .number("longest_retry_after", terms.maxRetryAfterSeconds())
                .number("list_lag", terms.endpointListLagSeconds())
                .number("report_lag", terms.loadReportLagSeconds())
                .number("grace", terms.drainGraceSeconds())
                .number("connect_limit", terms.connectTimeoutSeconds())
                .number("cross_zone_price", terms.crossZonePrice())
                .number("over_share_value", terms.overQuotaValue());
    }

    /**
     * Writes a fault. Some optional keys are omitted at their defaults, because the reader rejects
     * them for kinds that do not support them.
     */
    private void write(Scenario.Fault fault) {
        toml.arrayTable("faults")
                .text("kind", fault.kind().key())
                .number("at", fault.startSeconds())
                .number("for", fault.durationSeconds())
                .textUnlessEmpty("group", fault.group())
                .number("share", fault.targetFraction())
                .number("level", fault.level())
                .number("pick", fault.pick());
        if (fault.startSpreadSeconds() > 0) {
            toml.number("within", fault.startSpreadSeconds());
        }
        if (fault.linkKind() != LinkKind.WORKERS) {
            toml.text("to", fault.linkKind().key());
        }
        toml.textUnlessEmpty("zone", fault.workerZone());
        toml.textUnlessEmpty("from", fault.dispatcherZone());
        if (fault.delaySpreadSeconds() > 0) {
            toml.number("spread", fault.delaySpreadSeconds());
        }
        if (fault.peerFraction() < 1) {
            toml.number("others", fault.peerFraction());
        }
        if (fault.mode() != FaultMode.UNCHANGED) {
            toml.text("how", fault.mode().key());
        }
    }

    private void write(Scenario.RandomFaults faults) {
        if (faults.countPerCycle() > 0) {
            toml.table("drawn")
                    .number("faults", faults.countPerCycle())
                    .number("longest", faults.maxDurationSeconds())
                    .texts("kinds", faults.kinds().stream().map(FaultKind::key).toList());
        }
    }

    private void write(Scenario.Expectation expectation) {
        toml.table("expect." + TomlWriter.quoted(expectation.metric()));
        if (Double.isFinite(expectation.min())) {
            toml.number("least", expectation.min());
        }
        if (Double.isFinite(expectation.max())) {
            toml.number("most", expectation.max());
        }
    }
}
