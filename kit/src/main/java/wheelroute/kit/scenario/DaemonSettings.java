package wheelroute.kit.scenario;

import java.util.LinkedHashMap;
import java.util.Map;
import wheelroute.config.ConfigException;
import wheelroute.config.RequestClassSettings;
import wheelroute.config.SettingsReader;
import wheelroute.config.WireSettingsWriter;
import wheelroute.decision.Settings;

/**
 * Derives dispatcher settings from a scenario, keyed by their paths in the dispatcher's own
 * configuration. Simulated dispatchers and dispatcher processes both use these settings.
 */
public final class DaemonSettings {
    private DaemonSettings() {}

    /**
     * Returns the settings that all dispatchers share. The variant's settings take precedence over
     * the scenario's overrides, which take precedence over the settings that are derived from the
     * rest of the scenario.
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

    private static void writeTerms(WireSettingsWriter settings, Scenario.PlatformProperties terms) {
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

    /**
     * Writes the slow-start rules of the first group that has any, as a dispatcher has one set of
     * rules for all groups.
     */
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

    /**
     * Returns the settings of one dispatcher: the shared settings, its own zone and its position. A
     * position among the shared settings is kept.
     */
    public static Map<String, String> settingsOfDispatcher(
            Scenario scenario, int dispatcher, Map<String, String> shared) {
        Map<String, String> own = new LinkedHashMap<>(shared);
        own.put("az", scenario.zoneOf(dispatcher));
        own.putIfAbsent("position", Integer.toString(dispatcher));
        return own;
    }

    /**
     * Returns the settings of a simulated dispatcher, parsed by the configuration reader of the
     * dispatcher's process.
     *
     * @throws ConfigException if a setting is invalid
     */
    public static Settings settings(long seed, Map<String, String> settingsByPath)
            throws ConfigException {
        Map<String, String> all = new LinkedHashMap<>(settingsByPath);
        // Matches a dispatcher's process, which always gets the endpoint list from discovery.
        all.put("membership_mode", "ask");
        return SettingsReader.read(seed, all);
    }
}
