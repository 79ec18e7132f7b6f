package wheelroute.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wheelroute.decision.Settings;
import wheelroute.peers.PeerId;

/**
 * Reads the environment and the file that it names. At the start the environment's own values go
 * before the file's; later only the file can have changed, and its word on discovery is the newer
 * one.
 */
public final class ConfigReader {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int HEX = 16;
    private static final int MOST_PORT = 65_535;

    /** Far below it nothing could be served: the runtime itself holds some thirty descriptors. */
    private static final int LEAST_SOCKETS = 64;

    private static final double MEGABYTE = 1 << 20;
    private static final double USUAL_SOCKETS = 1024;
    private static final double USUAL_CONNECT = 0.25;
    private static final double USUAL_IDLE = 30;
    private static final double USUAL_OUTER_LIMIT = 30;

    private final Map<String, String> environment;
    private final Map<String, String> file = new HashMap<>();
    private final boolean again;
    private byte[] known;

    private ConfigReader(Map<String, String> environment, boolean again) {
        this.environment = environment;
        this.again = again;
    }

    public static Config read(Map<String, String> environment) throws ConfigException {
        return read(environment, false);
    }

    /** The same for a process that serves already, after its file was replaced. */
    public static Config reread(Map<String, String> environment) throws ConfigException {
        return read(environment, true);
    }

    private static Config read(Map<String, String> environment, boolean again)
            throws ConfigException {
        ConfigReader reader = new ConfigReader(environment, again);
        reader.readFile();
        return reader.config();
    }

    private void readFile() throws ConfigException {
        String path = environment.get("LB_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigException("LB_CONFIG", "is missing: it names the configuration file");
        }
        if (path.endsWith(".toml")) {
            readToml(path);
            return;
        }
        try (JsonParser parser = JSON.createParser(Files.readAllBytes(Path.of(path)))) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException("LB_CONFIG", "names a file that is not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals("known")) {
                    known = copied(parser);
                } else {
                    JsonFlattener.flatten(parser, name, file);
                }
            }
            if (parser.nextToken() != null) {
                throw new ConfigException(
                        "LB_CONFIG", "names a file that goes on after its object");
            }
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(
                    "LB_CONFIG", "names a file that cannot be read: " + e.getMessage());
        }
    }

    private void readToml(String path) throws ConfigException {
        try {
            TomlFile.Read read =
                    TomlFile.read(Files.readString(Path.of(path), StandardCharsets.UTF_8));
            file.putAll(read.pairs());
            known = read.known();
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(
                    "LB_CONFIG", "names a file that cannot be read: " + e.getMessage());
        }
    }

    /** Kept as it is: the list's own codec reads it, once. */
    private static byte[] copied(JsonParser parser) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.copyCurrentStructure(parser);
        }
        return out.toByteArray();
    }

    private Config config() throws ConfigException {
        Map<String, String> pairs = new HashMap<>();
        file.forEach(
                (key, value) -> {
                    if (key.startsWith("settings.")) {
                        pairs.put(key.substring("settings.".length()), value);
                    }
                });
        boolean listIsPushed = "push".equals(pairs.get("membership_mode"));
        // On sockets the list comes only to who asks, however the bench's wire would bring it.
        pairs.put("membership_mode", "ask");
        SettingsReader reader = new SettingsReader(pairs);
        Settings settings = reader.settings(seed());
        if (settings.requestClasses().isEmpty()) {
            throw new ConfigException("settings.request_classes", "names no offering");
        }
        double longest = 0;
        Set<String> names = new HashSet<>();
        for (int i = 0; i < settings.requestClasses().size(); i++) {
            String name = settings.requestClasses().get(i).id().name();
            if (name.isEmpty() || !names.add(name)) {
                throw new ConfigException(
                        "settings.request_classes." + i + ".name",
                        name.isEmpty() ? "is missing" : "is another offering's too: " + name);
            }
            String key = "request_classes." + i + ".hard_limit_us";
            longest = Math.max(longest, positive(key, reader.seconds(key, USUAL_OUTER_LIMIT)));
        }
        double sockets = new SettingsReader(file).number("limits.sockets", USUAL_SOCKETS);
        if (!(sockets >= LEAST_SOCKETS)) {
            throw new ConfigException("limits.sockets", "is under " + LEAST_SOCKETS);
        }
        double memory = new SettingsReader(file).number("limits.memory_mb", Double.NaN) * MEGABYTE;
        if (memory <= 0) {
            throw new ConfigException("limits.memory_mb", "is not above 0");
        }
        String connect = "permissions.connect_timeout_us";
        String idle = "permissions.conn_idle_us";
        String discovery = again && file.containsKey("discovery") ? "" : "LB_DISCOVERY";
        InetSocketAddress admin = optional("LB_ADMIN", "admin");
        return new Config(
                value("LB_NAME", "name"),
                address("LB_LISTEN", "listen"),
                address(discovery, "discovery"),
                admin,
                admin == null ? null : meeting(),
                (int) sockets,
                memory,
                known,
                settings,
                positive(connect, reader.seconds(connect, USUAL_CONNECT)),
                positive(idle, reader.seconds(idle, USUAL_IDLE)),
                longest,
                listIsPushed,
                peering(settings));
    }

    /**
     * Off unless it is asked for by name: a platform that tells addresses of peers does not ask for
     * it yet.
     */
    private PeeringConfig peering(Settings settings) throws ConfigException {
        if (file.getOrDefault("peering.listen", "").isEmpty()) {
            return null;
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : file.getOrDefault("peering.addresses", "").split(",")) {
            InetSocketAddress address = parse(text);
            if (address == null) {
                throw new ConfigException(
                        "peering.addresses", "has one that is not host:port: " + text);
            }
            addresses.add(address);
        }
        if (addresses.size() != settings.dispatchers()) {
            throw new ConfigException(
                    "peering.addresses",
                    "are " + addresses.size() + " of " + settings.dispatchers() + " dispatchers");
        }
        if (settings.position() < 0 || settings.position() >= addresses.size()) {
            throw new ConfigException("peering", "needs this dispatcher's position among them");
        }
        if (!value("LB_NAME", "name").matches("[!-~]{1," + PeerId.MOST_BYTES + "}")) {
            throw new ConfigException(
                    "name",
                    "is longer than " + PeerId.MOST_BYTES + " plain characters, which peers need");
        }
        return new PeeringConfig(
                file.getOrDefault("peering.cluster", ""),
                address("", "peering.listen"),
                List.copyOf(addresses),
                settings.position());
    }

    private static double positive(String key, double value) throws ConfigException {
        if (!(value > 0)) {
            throw new ConfigException("settings." + key, "is not above 0");
        }
        return value;
    }

    private long seed() throws ConfigException {
        String seed = file.getOrDefault("seed", "0");
        try {
            return Long.parseUnsignedLong(seed, HEX);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "is not up to 16 hex digits: " + seed);
        }
    }

    private String value(String variable, String key) throws ConfigException {
        String value = environment.getOrDefault(variable, file.get(key));
        if (value == null || value.isEmpty()) {
            String or = variable.isEmpty() ? "" : " (or " + variable + ")";
            throw new ConfigException(key, "is missing" + or);
        }
        return value;
    }

    /**
     * Where a process that takes this one's place has a door of its own, it shares this directory
     * too.
     */
    private Path meeting() throws ConfigException {
        String directory = environment.getOrDefault("TMPDIR", "");
        try {
            return directory.isEmpty() ? null : Path.of(directory);
        } catch (InvalidPathException e) {
            throw new ConfigException("TMPDIR", "names no directory: " + e.getMessage());
        }
    }

    /** Null where neither names one. */
    private InetSocketAddress optional(String variable, String key) throws ConfigException {
        return environment.getOrDefault(variable, file.getOrDefault(key, "")).isEmpty()
                ? null
                : address(variable, key);
    }

    private InetSocketAddress address(String variable, String key) throws ConfigException {
        String value = value(variable, key);
        InetSocketAddress address = parse(value);
        if (address == null) {
            throw new ConfigException(key, "is not host:port: " + value);
        }
        return address;
    }

    /** As {@link #parse} reads it. */
    public static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Null for what is no address of the form host:port; the host is taken as it is, there is no
     * DNS.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MOST_PORT) {
                return null;
            }
            InetSocketAddress address = new InetSocketAddress(text.substring(0, colon), port);
            return address.isUnresolved() ? null : address;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
