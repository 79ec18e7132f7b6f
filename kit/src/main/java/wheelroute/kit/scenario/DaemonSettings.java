package wheelroute.kit.scenario;

import java.util.LinkedHashMap;
import java.util.Map;
import wheelroute.config.ConfigException;
import wheelroute.config.RequestClassSettings;
import wheelroute.config.SettingsReader;
import wheelroute.config.WireSettingsWriter;
import wheelroute.decision.Settings;

/**
 * Dispatcher settings of a scenario, by path in the dispatcher's own configuration. Simulated
 * dispatchers and dispatcher processes both get them from here.
 */
public final class DaemonSettings {
    private DaemonSettings() {}

    /**
     * Returns the settings that all dispatchers share. Those of the variant precede the scenario's
     * overrides, and these what is derived from the rest of the scenario.
     */
    public static Map<String, String> settingsByPath(
            Scenario scenario, Map<String, String> variant) {
        WireSettingsWriter settings = new WireSettingsWriter();
        settings.text("az", scenario.groups().get(0).zone())
                .number("balancers", scenario.dispatcherCount());
        writeTerms(settings, scenario.terms());
        writeSlowStart(settings, scenario);
        scenario.requestClasses().forEach(each -> settings.requestClass(toSettings(each)));
        scenario.tenants().forEach(tenant -> settings.tenant(tenant.name(), tenant.quota()));
        Map<String, String> all = new LinkedHashMap<>(settings.pairs());
        all.putAll(scenario.settingOverrides());
        all.putAll(variant);
        return all;
    }

    private static void writeTerms(WireSettingsWriter settings, Scenario.PlatformTerms terms) {
        settings.number("over_share_worth", terms.overQuotaValue())
                .flag("family_info.tells_start", terms.reportsStart())
                .seconds("family_info.progress_us", terms.progressIntervalSeconds())
                .flag("permissions.cancel", terms.mayCancel())
                .flag("permissions.may_duplicate", terms.mayHedge())
                .flag("permissions.retry_after", terms.sendsRetryAfter())
                .seconds("permissions.max_retry_after_us", terms.maxRetryAfterSeconds())
                .number("permissions.most_tries", terms.maxAttempts())
                .seconds("permissions.connect_timeout_us", terms.connectTimeoutSeconds())
                .number("prices.cross_zone", terms.crossZonePrice());
        if (terms.loadReportLagSeconds() >= 0) {
            settings.text("family_info.report_x0", "free_slots");
        }
    }

    /** A dispatcher has one set of slow-start rules: those of the first group that has any. */
    private static void writeSlowStart(WireSettingsWriter settings, Scenario scenario) {
        Scenario.WorkerGroup group =
                scenario.groups().stream()
                        .filter(each -> each.slowStartDurationSeconds() > 0)
                        .findFirst()
                        .orElse(scenario.groups().get(0));
        settings.number("rules.cold_from", group.slowStartFraction())
                .seconds("rules.cold_us", group.slowStartDurationSeconds())
                .number("rules.tip_multiple", group.overloadMultiple())
                .seconds("rules.fall_us", group.overloadWindowSeconds());
    }

    private static RequestClassSettings toSettings(Scenario.RequestClass requestClass) {
        return new RequestClassSettings(
                requestClass.name(),
                requestClass.idempotency(),
                requestClass.idempotencyScope(),
                requestClass.latencyObjectiveSeconds(),
                requestClass.objectivePerWork(),
                requestClass.deadlineSeconds(),
                requestClass.priorityWeight(),
                requestClass.lateValue(),
                requestClass.idempotencyWindowSeconds(),
                false);
    }

    /** Returns the settings of one dispatcher: the shared ones, its zone and its position. */
    public static Map<String, String> settingsOfDispatcher(
            Scenario scenario, int dispatcher, Map<String, String> shared) {
        Map<String, String> own = new LinkedHashMap<>(shared);
        own.put("az", scenario.zoneOf(dispatcher));
        own.putIfAbsent("position", Integer.toString(dispatcher));
        return own;
    }

    /** Returns the settings as the dispatcher's own reader reads them, for a simulated one. */
    public static Settings settings(long seed, Map<String, String> settingsByPath)
            throws ConfigException {
        Map<String, String> all = new LinkedHashMap<>(settingsByPath);
        // As in the dispatcher's process, which always calls discovery for the endpoint list.
        all.put("membership_mode", "ask");
        return SettingsReader.read(seed, all);
    }
}
