package wheelroute.kit.scenario;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wheelroute.config.ConfigException;
import wheelroute.config.RequestClassSettings;
import wheelroute.config.SettingsReader;
import wheelroute.config.WireSettingsWriter;
import wheelroute.decision.Settings;

/** A scenario's terms in the daemon's own configuration: one source for both clocks. */
public final class DaemonSettings {
    private static final JsonFactory JSON = new JsonFactory();

    private DaemonSettings() {}

    /**
     * As path=value pairs; what the scenario and then the variant set under the same paths goes
     * before.
     */
    public static Map<String, String> pairs(Scenario s, Map<String, String> variant) {
        Scenario.PlatformTerms terms = s.terms();
        WireSettingsWriter settings =
                new WireSettingsWriter()
                        .text("az", s.groups().get(0).zone())
                        .number("balancers", s.dispatchers())
                        .number("over_share_worth", terms.overQuotaValue())
                        .flag("family_info.tells_start", terms.reportsStart())
                        .seconds("family_info.progress_us", terms.progressIntervalSeconds())
                        .flag("permissions.cancel", terms.mayCancel())
                        .flag("permissions.may_duplicate", terms.mayHedge())
                        .flag("permissions.retry_after", terms.sendsRetryAfter())
                        .seconds("permissions.max_retry_after_us", terms.maxRetryAfterSeconds())
                        .number("permissions.most_tries", terms.maxAttempts())
                        .seconds("permissions.connect_timeout_us", terms.connectTimeoutSeconds())
                        .number("prices.cross_zone", terms.crossZonePrice());
        if (terms.reportLag() >= 0) {
            settings.text("family_info.report_x0", "free_slots");
        }
        Scenario.WorkerGroup cold =
                s.groups().stream()
                        .filter(g -> g.slowStartDurationSeconds() > 0)
                        .findFirst()
                        .orElse(s.groups().get(0));
        settings.number("rules.cold_from", cold.slowStartShare())
                .seconds("rules.cold_us", cold.slowStartDurationSeconds())
                .number("rules.tip_multiple", cold.overloadMultiple())
                .seconds("rules.fall_us", cold.overloadWindowSeconds());
        for (Scenario.RequestClass o : s.requestClasses()) {
            settings.requestClass(
                    new RequestClassSettings(
                            o.name(),
                            o.idempotency(),
                            o.idempotencyScope(),
                            o.latencyObjectiveSeconds(),
                            o.objectivePerWork(),
                            o.deadline(),
                            o.priorityWeight(),
                            o.lateValue(),
                            o.idempotencyWindowSeconds(),
                            false));
        }
        s.tenants().forEach(tenant -> settings.tenant(tenant.name(), tenant.quota()));
        Map<String, String> pairs = new LinkedHashMap<>(settings.pairs());
        pairs.putAll(s.overrides());
        pairs.putAll(variant);
        return pairs;
    }

    /** What one of the dispatchers is told: the same, its zone, and its place among them. */
    public static Map<String, String> pairsOf(
            Scenario scenario, int dispatcher, Map<String, String> pairs) {
        Map<String, String> own = new LinkedHashMap<>(pairs);
        own.put("az", scenario.zoneOf(dispatcher));
        own.putIfAbsent("position", Integer.toString(dispatcher));
        return own;
    }

    /** For the decisions alone, read by the daemon's own reader. */
    public static Settings settings(long seed, Map<String, String> pairs) throws ConfigException {
        Map<String, String> all = new LinkedHashMap<>(pairs);
        // As the daemon does on sockets.
        all.put("membership_mode", "ask");
        return SettingsReader.read(seed, all);
    }

    /**
     * A daemon's whole configuration file; peers are the others' addresses for it, and none where
     * it has none.
     */
    public static String file(
            String name,
            long seed,
            double memoryMb,
            int sockets,
            Map<String, String> pairs,
            List<String> peers) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("name", name);
            json.writeStringField("seed", Long.toHexString(seed));
            json.writeObjectFieldStart("limits");
            json.writeNumberField("memory_mb", (long) memoryMb);
            json.writeNumberField("sockets", sockets);
            json.writeEndObject();
            if (!peers.isEmpty()) {
                json.writeObjectFieldStart("peering");
                json.writeStringField("listen", "127.0.0.1:0");
                json.writeStringField("cluster", "rehearsal");
                json.writeArrayFieldStart("addresses");
                for (String peer : peers) {
                    json.writeString(peer);
                }
                json.writeEndArray();
                json.writeEndObject();
            }
            json.writeFieldName("settings");
            write(json, tree(pairs));
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a text cannot be written to", e);
        }
        return out.toString();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> tree(Map<String, String> pairs) {
        Map<String, Object> root = new TreeMap<>();
        pairs.forEach(
                (path, value) -> {
                    if (path.endsWith(".count")) {
                        // What reads the lists counts them.
                        return;
                    }
                    Map<String, Object> at = root;
                    String[] parts = path.split("\\.");
                    for (int i = 0; i < parts.length - 1; i++) {
                        at =
                                (Map<String, Object>)
                                        at.computeIfAbsent(
                                                parts[i], p -> new TreeMap<String, Object>());
                    }
                    at.put(parts[parts.length - 1], value);
                });
        return root;
    }

    /** A table whose keys are all numbers is a list. */
    @SuppressWarnings("unchecked")
    private static void write(JsonGenerator json, Object value) throws IOException {
        if (!(value instanceof Map)) {
            json.writeString((String) value);
            return;
        }
        Map<String, Object> table = (Map<String, Object>) value;
        if (!table.isEmpty() && table.keySet().stream().allMatch(key -> key.matches("\\d+"))) {
            json.writeStartArray();
            for (int i = 0; table.containsKey(Integer.toString(i)); i++) {
                write(json, table.get(Integer.toString(i)));
            }
            json.writeEndArray();
            return;
        }
        json.writeStartObject();
        for (Map.Entry<String, Object> entry : table.entrySet()) {
            json.writeFieldName(entry.getKey());
            write(json, entry.getValue());
        }
        json.writeEndObject();
    }
}
