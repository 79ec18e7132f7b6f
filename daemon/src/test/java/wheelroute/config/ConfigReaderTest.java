package wheelroute.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;
import wheelroute.decision.Ids;
import wheelroute.decision.Settings;

/** Tests how configurations are read from the environment and a JSON file. */
public class ConfigReaderTest {
    private static final String CLASSES =
            "'request_classes':[{'name':'light','effect':'free',"
                    + "'on_time_us':200000,'hard_limit_us':5000000,'worth':2.0},"
                    + "{'name':'alert','effect':'guarded','group':'cell',"
                    + "'hard_limit_us':20000000,'window_us':30000000}]";
    private static final String SETTINGS =
            "'settings':{'az':'west','family_info':{"
                    + "'class_stretch':[1.75,2.0],'class_kind':[-1,1],'progress_us':1000000},"
                    + "'models':['fast core','slow'],"
                    + "'permissions':{'cancel':true,'connect_timeout_us':250000,"
                    + "'conn_idle_us':60000000},"
                    + "'tenants':[{'name':'t','quota_per_s':28.0}],'later':{'key':[{'a':null}]},"
                    + CLASSES
                    + "}";
    private static final String COMPLETE =
            "{'name':'n3','listen':'127.0.0.4:8081','discovery':'127.0.0.1:8500',"
                    + "'seed':'8c1f30d27a5be964','limits':{'memory_mb':96,'sockets':512},"
                    + "'peers':['127.0.0.9:1'],"
                    + "'known':{'version':41,'full':true,'servers':[]},"
                    + SETTINGS
                    + "}";

    private static final String PEERING =
            "'peering':{'listen':'127.0.0.1:7','addresses':['127.0.0.1:7',"
                    + "'127.0.0.1:8'],'cluster':'x'},";

    private static Config read(String json, Map<String, String> variables)
            throws IOException, ConfigException {
        return read(json, variables, false);
    }

    private static Config read(String json, Map<String, String> variables, boolean isReload)
            throws IOException, ConfigException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.write(file, json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
            Map<String, String> environment = new HashMap<>(variables);
            environment.putIfAbsent("LB_CONFIG", file.toString());
            return isReload ? ConfigReader.reread(environment) : ConfigReader.read(environment);
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void readsEnvironmentAndFile() throws IOException, ConfigException {
        Config config = read(COMPLETE, Map.of("LB_NAME", "n4"));
        assertEquals(config.name(), "n4");
        assertEquals(config.listen().getPort(), 8081);
        assertEquals(config.maxDescriptors(), 512);
        assertEquals(config.connectTimeoutSeconds(), 0.25);
        assertEquals(config.idleTimeoutSeconds(), 60.0);
        assertEquals(config.maxTimeoutSeconds(), 20.0);
        assertEquals(config.settings().seed(), 0x8c1f30d27a5be964L);
        assertEquals(config.settings().zone(), new Ids.Zone("west"));
        assertEquals(config.settings().progressIntervalSeconds(), 1.0);
        assertTrue(config.settings().watchesEndpoints());
        assertTrue(config.settings().mayCancel());
        assertEquals(config.settings().requestClasses().get(0).objectivePerWork(), 1.75);
        assertEquals(
                config.settings().requestClasses().get(1).idempotency(),
                Idempotency.IDEMPOTENT_BY_KEY);
        assertEquals(
                config.settings().requestClasses().get(1).idempotencyScope(),
                IdempotencyScope.CELL);
        assertEquals(config.settings().requestClasses().get(1).model(), new Ids.Model("slow"));
        assertEquals(config.settings().quotas(), Map.of(new Ids.Tenant("t"), 28.0));
        assertEquals(
                new String(config.cachedEndpoints(), StandardCharsets.UTF_8),
                "{\"version\":41,\"full\":true,\"servers\":[]}");
    }

    @Test
    public void readsPeeringOnlyWithAddressToListenAt() throws IOException, ConfigException {
        String twoDispatchers =
                COMPLETE.replace("'settings':{", "'settings':{'balancers':2,'position':1,");
        assertEquals(
                read(
                                twoDispatchers.replace(
                                        "'settings'",
                                        "'peer_listen':'127.0.0.1:7','peers':['127.0.0.1:7',"
                                                + "'127.0.0.1:8'],'settings'"),
                                Map.of())
                        .peers(),
                null);
        PeeringConfig peers =
                read(twoDispatchers.replace("'settings'", PEERING + "'settings'"), Map.of())
                        .peers();
        assertEquals(peers.number(), 1);
        assertEquals(peers.cluster(), "x");
        assertEquals(peers.addresses().get(1).getPort(), 8);
    }

    @Test
    public void fileTakesPrecedenceForDiscoveryOnlyOnReload() throws IOException, ConfigException {
        Map<String, String> start = Map.of("LB_DISCOVERY", "127.0.0.1:7", "LB_NAME", "n4");
        assertEquals(read(COMPLETE, start).discovery().getPort(), 7);
        assertEquals(read(COMPLETE, start, true).discovery().getPort(), 8500);
        assertEquals(
                read(COMPLETE.replace("'discovery'", "'other'"), start, true).discovery().getPort(),
                7);
    }

    @Test
    public void namesChangedKeysThatRequireRestart() throws IOException, ConfigException {
        Map<String, String> start = Map.of("LB_DISCOVERY", "127.0.0.1:7", "LB_NAME", "n4");
        Config first = read(COMPLETE, start);
        assertEquals(first.discovery().getPort(), 7);
        assertEquals(first.maxMemoryBytes(), 96.0 * 1024 * 1024);
        Config second = read(COMPLETE.replace("8c1f", "9c1f"), start, true);
        assertEquals(second.discovery().getPort(), 8500);
        assertEquals(first.keysRequiringRestart(second), List.of());
        Config third =
                read(
                        COMPLETE.replace("512", "256").replace("'worth':2.0", "'worth':3.0"),
                        start,
                        true);
        assertEquals(first.keysRequiringRestart(third), List.of("limits.sockets", "settings"));
    }

    @Test
    public void readsSameSettingsFromFileAsAdapterFromWire() throws IOException, ConfigException {
        Map<String, String> wire = new HashMap<>();
        for (String pair :
                ("az=west family_info.class_stretch=1.75,2.0 family_info.class_kind=-1,1"
                                + " family_info.progress_us=1000000 models=fast_core,slow"
                                + " permissions.cancel=true"
                                + " tenants.count=1 tenants.0.name=t tenants.0.quota_per_s=28.0"
                                + " request_classes.count=2"
                                + " request_classes.0.name=light request_classes.0.effect=free"
                                + " request_classes.0.worth=2.0"
                                + " request_classes.0.on_time_us=200000"
                                + " request_classes.1.name=alert"
                                + " request_classes.1.effect=guarded request_classes.1.group=cell"
                                + " request_classes.1.window_us=30000000 membership_mode=ask")
                        .split(" ")) {
            wire.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        assertEquals(
                read(COMPLETE, Map.of()).settings(),
                SettingsReader.read(0x8c1f30d27a5be964L, wire));
    }

    /** Names that look like a part of a path, a list or a key must be kept as well. */
    @Test
    public void keepsNamesUnchanged() throws IOException, ConfigException {
        for (String name :
                List.of(
                        "a b",
                        "a_b",
                        "a,b",
                        "a.b",
                        "limits",
                        "memory_mb",
                        "count",
                        "healthz",
                        "\u00e9t\u00e9")) {
            Settings settings =
                    read(
                                    COMPLETE.replace("'name':'light'", "'name':'" + name + "'")
                                            .replace("'name':'t'", "'name':'" + name + "'"),
                                    Map.of())
                            .settings();
            assertEquals(settings.requestClasses().get(0).id().name(), name);
            assertEquals(settings.quotas().keySet().iterator().next().name(), name);
            assertEquals(settings.requestClasses().size(), 2);
        }
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return Stream.of(invalidSettings(), invalidPeeringAndFileFormat())
                .flatMap(Arrays::stream)
                .toArray(Object[][]::new);
    }

    private static Object[][] invalidSettings() {
        return new Object[][] {
            // Each row has the text to replace, its replacement and the key that the message names.
            {"'listen':'127.0.0.4:8081',", "", "listen"},
            {"127.0.0.4:8081", "127.0.0.4", "listen"},
            {"127.0.0.4:8081", "127.0.0.4:80810", "listen"},
            {"'discovery':'127.0.0.1:8500',", "", "discovery"},
            {"'name':'n3',", "", "name"},
            {"8c1f30d27a5be964", "twelve", "seed"},
            {"'sockets':512", "'sockets':3", "limits.sockets"},
            {"'settings':{", "'settings':{'balancers':2,'position':2,", "position"},
            {"'settings':{", "'settings':{'rules':{'key_rest_us':-1},", "rules.key_rest_us"},
            {"'settings':{", "'settings':{'rules':{'key_rest_us':'long'},", "rules.key_rest_us"},
            {
                "'settings':{",
                "'settings':{'rules':{'gone_is_advice':'often'},",
                "rules.gone_is_advice"
            },
            {
                "'effect':'free',",
                "'effect':'free','one_at_a_time':2,",
                "request_classes.0.one_at_a_time"
            },
            {"'sockets':512", "'sockets':'few'", "limits.sockets"},
            {"'memory_mb':96", "'memory_mb':0", "limits.memory_mb"},
            {COMPLETE, COMPLETE + "}", "LB_CONFIG"},
            {"'hard_limit_us':5000000", "'hard_limit_us':0", "request_classes.0.hard_limit_us"},
            {"'on_time_us':200000", "'on_time_us':'soon'", "request_classes.0.on_time_us"},
            {"'connect_timeout_us':250000", "'connect_timeout_us':-1", "connect_timeout_us"},
            {CLASSES, "'request_classes':[]", "request_classes"},
            {"'name':'alert'", "'name':'light'", "request_classes.1.name"},
            {"'name':'alert'", "'name':''", "request_classes.1.name"},
            {"'settings'", "'sittings'", "request_classes"},
        };
    }

    private static Object[][] invalidPeeringAndFileFormat() {
        return new Object[][] {
            {"'settings':{", PEERING + "'settings':{'balancers':2,", "peering"},
            {
                "'settings':{",
                PEERING + "'settings':{'balancers':3,'position':1,",
                "peering.addresses"
            },
            {
                "'settings':{",
                PEERING.replace(":8'", "'") + "'settings':{'balancers':2,'position':1,",
                "peering.addresses"
            },
            {
                "'settings':{",
                PEERING.replace("127.0.0.1:7','a", "here','a")
                        + "'settings':{'balancers':2,'position':1,",
                "peering.listen"
            },
            {"'name':'n3',", "'name':'" + "n".repeat(41) + "'," + PEERING, "peering"},
            {COMPLETE, "[]", "LB_CONFIG"},
            {COMPLETE, COMPLETE.substring(0, 90), "LB_CONFIG"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void rejectsFaultyFileNamingTheKey(String target, String replacement, String key) {
        String message =
                expectThrows(
                                ConfigException.class,
                                () -> read(COMPLETE.replace(target, replacement), Map.of()))
                        .getMessage();
        assertTrue(message.contains(key), message);
    }

    @Test
    public void rejectsMissingFileNamingItsVariable() {
        String message =
                expectThrows(
                                ConfigException.class,
                                () -> read(COMPLETE, Map.of("LB_CONFIG", "/no/such/file")))
                        .getMessage();
        assertTrue(message.contains("LB_CONFIG"), message);
        assertTrue(
                expectThrows(ConfigException.class, () -> ConfigReader.read(Map.of()))
                        .getMessage()
                        .contains("LB_CONFIG"));
    }
}
