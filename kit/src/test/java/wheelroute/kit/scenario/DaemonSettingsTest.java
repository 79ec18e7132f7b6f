package wheelroute.kit.scenario;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import wheelroute.config.Config;
import wheelroute.config.ConfigReader;
import wheelroute.decision.Settings;
import wheelroute.kit.SmallScenario;

public class DaemonSettingsTest {
    private static final String SCENARIO_LINES =
            "[terms]\nmost_launches = 4\nmay_copy = false\n"
                    + "[[tenants]]\nname = \"t\"\nquota = 7\n"
                    + "[daemon]\n\"permissions.most_tries\" = \"5\"\n";
    private static final Map<String, String> VARIANT = Map.of("prices.cross_zone", "0.5");

    /**
     * Guards against a simulated dispatcher whose settings differ from those that a dispatcher's
     * process reads from its configuration file.
     */
    @Test
    public void simulatedDispatcherAndProcessGetSameSettings() throws Exception {
        Map<String, String> settingsByPath =
                DaemonSettings.settingsByPath(SmallScenario.scenario(SCENARIO_LINES), VARIANT);

        Settings settings = DaemonSettings.settings(3, settingsByPath);

        assertEquals(
                settings.maxAttempts(),
                5,
                "the override takes precedence over the scenario's terms");
        assertEquals(settings.crossZonePrice(), 0.5);
        assertEquals(settings.mayHedge(), false);
        assertEquals(settings.quotas().size(), 1);
        assertEquals(settings.requestClasses().get(1).idempotencyWindowSeconds(), 1.0);
        Config config = readConfigFile(settingsByPath);
        assertEquals(config.settings(), settings);
        assertEquals(List.of(config.maxDescriptors()), List.of(512));
    }

    private static Config readConfigFile(Map<String, String> settingsByPath) throws Exception {
        Path file = Files.createTempFile("daemon", ".json");
        Scenario.Limits limits = new Scenario.Limits(192, 512);
        Files.writeString(
                file, new DaemonConfigFile("n0", 3, limits, settingsByPath, List.of()).text());
        Config config =
                ConfigReader.read(
                        Map.of(
                                "LB_CONFIG",
                                file.toString(),
                                "LB_LISTEN",
                                "127.0.0.1:0",
                                "LB_DISCOVERY",
                                "127.0.0.1:1"));
        Files.delete(file);
        return config;
    }
}
