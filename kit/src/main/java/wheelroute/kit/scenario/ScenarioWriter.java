package wheelroute.kit.scenario;

import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import wheelroute.config.TomlFields;

/** A scenario as a file that {@link ScenarioReader} reads as the same scenario. */
public final class ScenarioWriter {
    private final StringBuilder out = new StringBuilder();

    private ScenarioWriter() {}

    /** The scenario as a TOML file that reads back as the same scenario. */
    public static String text(Scenario s) {
        ScenarioWriter writer = new ScenarioWriter();
        writer.write(s);
        return writer.out.toString();
    }

    private void write(Scenario s) {
        text("title", s.title());
        table("run")
                .number("seconds", s.seconds())
                .number("cycle", s.cycle())
                .texts("clocks", s.clocks())
                .number("dispatchers", s.dispatchers())
                .texts("zones", s.zones())
                .flag("peers", s.peers());
        table("limits")
                .number("memory_mb", s.limits().memoryMb())
                .number("sockets", s.limits().sockets());
        s.groups().forEach(this::write);
        s.requestClasses().forEach(this::write);
        for (Scenario.Tenant tenant : s.tenants()) {
            item("tenants")
                    .text("name", tenant.name())
                    .number("share", tenant.share())
                    .number("quota", tenant.quota());
        }
        for (Scenario.LoadPoint point : s.load()) {
            item("load").number("at", point.time()).number("rate", point.rate());
        }
        Scenario.Clients c = s.clients();
        table("clients")
                .number("retries", c.retries())
                .number("pause", c.retryDelay())
                .number("least_wait", c.minTimeout())
                .number("impatient", c.cancelFraction())
                .number("fresh", c.newConnectionFraction())
                .number("writes", c.writePause());
        table("network")
                .number("delay", s.network().delay())
                .number("jitter", s.network().jitter());
        Scenario.PlatformTerms t = s.terms();
        table("terms")
                .flag("tells_start", t.reportsStart())
                .number("progress_every", t.progressIntervalSeconds())
                .flag("may_cancel", t.mayCancel())
                .flag("may_copy", t.mayHedge())
                .number("most_launches", t.maxAttempts())
                .flag("retry_after", t.sendsRetryAfter())
                .number("longest_retry_after", t.maxRetryAfterSeconds())
                .number("list_lag", t.listLag())
                .number("report_lag", t.reportLag())
                .number("grace", t.grace())
                .number("connect_limit", t.connectTimeoutSeconds())
                .number("cross_zone_price", t.crossZonePrice())
                .number("over_share_value", t.overQuotaValue());
        s.faults().forEach(this::write);
        if (s.randomFaults().perCycle() > 0) {
            table("drawn")
                    .number("faults", s.randomFaults().perCycle())
                    .number("longest", s.randomFaults().maxLength())
                    .texts(
                            "kinds",
                            s.randomFaults().kinds().stream()
                                    .map(TomlFields::configuredName)
                                    .toList());
        }
        map("daemon", s.overrides());
        map("changed", s.changedSettings());
        for (Scenario.Expectation e : s.expectations()) {
            table("expect." + quoted(e.figure()));
            if (Double.isFinite(e.min())) {
                number("least", e.min());
            }
            if (Double.isFinite(e.max())) {
                number("most", e.max());
            }
        }
    }

    private void write(Scenario.WorkerGroup g) {
        item("workers")
                .text("name", g.name())
                .text("model", g.model())
                .number("count", g.count())
                .number("slots", g.slots())
                .number("speed", g.speed())
                .text("zone", g.zone())
                .number("queue", g.queue())
                .number("memory", g.memory())
                .number("cold_share", g.slowStartShare())
                .number("cold_for", g.slowStartDurationSeconds())
                .number("tip_multiple", g.overloadMultiple())
                .number("tip_window", g.overloadWindowSeconds())
                .number("tip_request", g.overloadMeanWork());
    }

    private void write(Scenario.RequestClass o) {
        item("offerings")
                .text("name", o.name())
                .text("effect", TomlFields.configuredName(o.idempotency()))
                .text("group", TomlFields.configuredName(o.idempotencyScope()))
                .number("share", o.share())
                .number("work", o.work())
                .number("spread", o.spread())
                .number("hint_error", o.estimateError())
                .number("quoted", o.latencyObjectiveSeconds())
                .number("stretch", o.objectivePerWork())
                .number("outer", o.deadline())
                .number("value", o.priorityWeight())
                .number("late_value", o.lateValue())
                .number("window", o.idempotencyWindowSeconds())
                .number("slots", o.slots())
                .number("memory", o.memory());
    }

    /** What has no meaning for a kind may not stand there. */
    private void write(Scenario.Fault f) {
        item("faults")
                .text("kind", TomlFields.configuredName(f.kind()))
                .number("at", f.start())
                .number("for", f.length());
        if (!f.group().isEmpty()) {
            text("group", f.group());
        }
        number("share", f.share()).number("level", f.level()).number("pick", f.pick());
        if (f.startSpread() > 0) {
            number("within", f.startSpread());
        }
        if (f.linkKind() != Scenario.LinkKind.WORKERS) {
            text("to", TomlFields.configuredName(f.linkKind()));
        }
        if (!f.zone().isEmpty()) {
            text("zone", f.zone());
        }
        if (!f.from().isEmpty()) {
            text("from", f.from());
        }
        if (f.spread() > 0) {
            number("spread", f.spread());
        }
        if (f.peerFraction() < 1) {
            number("others", f.peerFraction());
        }
        if (f.how() != Scenario.How.USUAL) {
            text("how", TomlFields.configuredName(f.how()));
        }
    }

    private ScenarioWriter table(String name) {
        out.append("\n[").append(name).append("]\n");
        return this;
    }

    private ScenarioWriter item(String name) {
        out.append("\n[[").append(name).append("]]\n");
        return this;
    }

    private ScenarioWriter key(String key, String value) {
        out.append(key).append(" = ").append(value).append('\n');
        return this;
    }

    private ScenarioWriter number(String key, double value) {
        // Plain decimals: a person may read it, and it is the same number when read again.
        return key(
                key,
                value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
                        ? Long.toString((long) value)
                        : new BigDecimal(Double.toString(value)).toPlainString());
    }

    private ScenarioWriter flag(String key, boolean value) {
        return key(key, Boolean.toString(value));
    }

    private ScenarioWriter text(String key, String value) {
        return key(key, quoted(value));
    }

    private ScenarioWriter texts(String key, List<String> values) {
        return key(
                key,
                values.stream()
                        .map(ScenarioWriter::quoted)
                        .collect(Collectors.joining(", ", "[", "]")));
    }

    private void map(String name, Map<String, String> values) {
        if (!values.isEmpty()) {
            table(name);
            values.forEach((key, value) -> text(quoted(key), value));
        }
    }

    private static String quoted(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c == 0x7f) {
                quoted.append(String.format(Locale.ROOT, "\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }
}
