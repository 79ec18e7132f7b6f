package wheelroute.kit.scenario;

import wheelroute.config.TomlFields;

/** Reads the tables of a scenario file that describe processes, network and platform. */
final class PlatformReader {
    private PlatformReader() {}

    static Scenario.Limits limits(TomlFields fields) {
        return new Scenario.Limits(
                fields.integer("memory_mb", 192, 64, 4096),
                fields.integer("sockets", 4096, 96, 65_536));
    }

    static Scenario.Network network(TomlFields fields) {
        return new Scenario.Network(
                fields.number("delay", 0.0005, 0, 10), fields.number("jitter", 0.0005, 0, 10));
    }

    static Scenario.PlatformProperties terms(TomlFields fields) {
        return new Scenario.PlatformProperties(
                fields.flag("tells_start", true),
                fields.number("progress_every", 0, 0, 60),
                fields.flag("may_cancel", true),
                fields.flag("may_copy", true),
                fields.integer("most_launches", 3, 1, 50),
                fields.flag("retry_after", true),
                fields.number("longest_retry_after", 2, 0, 60),
                fields.number("list_lag", 0.2, 0, 60),
                fields.number("report_lag", -1, -1, 60),
                fields.number("grace", 2, 0, 60),
                fields.number("connect_limit", 0.25, 0.01, 10),
                fields.number("cross_zone_price", 0, 0, 100),
                fields.number("over_share_value", 1, 0, 1));
    }
}
