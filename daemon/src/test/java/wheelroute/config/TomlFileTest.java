package wheelroute.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Ids;
import wheelroute.net.discovery.EndpointList;

/** Tests how configurations are read from an operator's TOML file. */
public class TomlFileTest {
    private static final String TOML =
            """
            name = "n3"
            listen = "127.0.0.4:8081"
            discovery = "127.0.0.1:8500"
            zone = "west"
            [limits]
            sockets = 512
            [terms]
            idle_limit = 60
            [[offerings]]
            name = "light"
            effect = "idempotent"
            quoted = 0.2
            outer = 5
            value = 2.0
            [[offerings]]
            name = "alert"
            effect = "deduplicated"
            group = "zone"
            quoted = 1
            outer = 20
            window = 30
            [[tenants]]
            name = "t"
            quota = 28
            [[workers]]
            name = "w1"
            address = "127.0.0.1:9001"
            """;

    private static Config readToml(String toml) throws IOException, ConfigException {
        Path file = Files.createTempFile("config", ".toml");
        try {
            Files.writeString(file, toml);
            return ConfigReader.read(Map.of("LB_CONFIG", file.toString()));
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void readsAllFieldsOfTomlFile() throws IOException, ConfigException {
        Config config = readToml(TOML);
        assertEquals(config.maxDescriptors(), 512);
        assertEquals(config.idleTimeoutSeconds(), 60.0);
        assertEquals(config.maxTimeoutSeconds(), 20.0);
        assertEquals(config.settings().zone(), new Ids.Zone("west"));
        assertEquals(
                config.settings().requestClasses().get(0).idempotency(), Idempotency.IDEMPOTENT);
        assertEquals(config.settings().requestClasses().get(0).latencyObjectiveSeconds(), 0.2);
        assertEquals(
                config.settings().requestClasses().get(1).idempotencyScope(),
                IdempotencyScope.ZONE);
        assertEquals(config.settings().requestClasses().get(1).idempotencyWindowSeconds(), 30.0);
        assertEquals(config.settings().quotas(), Map.of(new Ids.Tenant("t"), 28.0));
        assertTrue(config.settings().watchesEndpoints());
        assertFalse(config.settings().removalIsAdvisory());
        assertEquals(EndpointList.decode(config.cachedEndpoints()).entries().get(0).id(), "w1");
    }

    @Test
    public void readsFieldsOfKeyOrder() throws IOException, ConfigException {
        Config ordered =
                readToml(
                        TOML.replace("[terms]", "[terms]\nkey_rest = 0.2\ngone_is_advice = true")
                                .replace("window = 30", "window = 30\nin_turn = true"));
        assertTrue(ordered.settings().removalIsAdvisory());
        assertEquals(ordered.settings().keyQuietPeriodSeconds(), 0.2);
        assertFalse(ordered.settings().requestClasses().get(0).ordered());
        assertTrue(ordered.settings().requestClasses().get(1).ordered());
    }

    @DataProvider
    public Object[][] invalidTomlFiles() {
        return new Object[][] {
            // Each row has the text to replace, its replacement and a part of the message.
            {"quoted = 0.2\n", "", "offerings[0].quoted"},
            {
                "quoted = 0.2",
                "quoted = \"soon\"",
                "'offerings[0].quoted' is not a number: soon (line 12)"
            },
            {"quoted = 0.2", "quotet = 0.2", "offerings[0].quotet is not known"},
            {
                "\"deduplicated\"",
                "\"twice\"",
                "'offerings[1].effect' is none of idempotent, deduplicated"
            },
            {"sockets = 512", "sockets = 12", "'limits.sockets' is not from 64"},
            {
                "[limits]",
                "position = 3\n[limits]",
                "'position' is 3.0, which is not less than the number of dispatchers"
            },
            {
                "127.0.0.1:9001",
                "nowhere",
                "'workers[0].address' is not host:port: nowhere (line 27)"
            },
            {"\"w1\"", "\"w\\\"1\"", "'workers[0].name' has a character"},
            {"[limits]", "[limits", "'line 5' is not valid TOML"},
            {"idle_limit = 60", "key_rest = -1", "'terms.key_rest' is not from 0"},
            {"idle_limit = 60", "gone_is_advice = 3", "terms.gone_is_advice"},
            {"window = 30", "in_turn = \"yes\"", "offerings[1].in_turn"},
            {"127.0.0.4:8081", "here", "'listen' is not host:port"},
            {"quoted = 0.2", "quoted = -1\nvalue2 = 3", "offerings[0].value2 is not known"},
        };
    }

    @Test(dataProvider = "invalidTomlFiles")
    public void rejectsFaultyFileWithKeyAndLine(
            String target, String replacement, String expected) {
        String message =
                expectThrows(
                                ConfigException.class,
                                () -> readToml(TOML.replace(target, replacement)))
                        .getMessage();
        assertTrue(message.contains(expected), message);
    }
}
