package wheelroute.kit.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import wheelroute.kit.strategy.Strategies;

/**
 * Who dispatches, and with which settings.
 *
 * @param brain who decides on the virtual clock
 * @param jar another build's daemon for the real clock; null for our own
 * @param settings that differ from the scenario's, under the names of the daemon's settings
 */
public record Variant(String name, String brain, Path jar, Map<String, String> settings) {
    /** The daemon as it is. */
    public static final Variant USUAL = new Variant("as-built", Strategies.POLICY, null, Map.of());

    private static final String BRAIN = "brain";
    private static final String JAR = "daemon";

    /** The variant in which a baseline strategy of this name decides. */
    public static Variant baseline(String brain) {
        return new Variant(brain, brain, null, Map.of());
    }

    /** From NAME:KEY=VALUE,KEY=VALUE. Throws with a message that names the fault. */
    public static Variant parse(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        if (name.isEmpty()) {
            throw new IllegalArgumentException(
                    "variant '" + text + "' has no name before its colon");
        }
        String brain = Strategies.POLICY;
        Path jar = null;
        Map<String, String> settings = new LinkedHashMap<>();
        for (String pair :
                colon < 0 || colon == text.length() - 1
                        ? new String[0]
                        : text.substring(colon + 1).split(",")) {
            int eq = pair.indexOf('=');
            if (eq < 1) {
                throw new IllegalArgumentException(
                        "variant '" + name + "': '" + pair + "' is not KEY=VALUE");
            }
            String key = pair.substring(0, eq).trim();
            String value = pair.substring(eq + 1).trim();
            switch (key) {
                case BRAIN -> brain = brain(name, value);
                case JAR -> jar = jar(name, value);
                default -> settings.put(key, value);
            }
        }
        return new Variant(name, brain, jar, settings);
    }

    private static String brain(String name, String value) {
        if (!Strategies.names().contains(value)) {
            throw new IllegalArgumentException(
                    "variant '"
                            + name
                            + "': no brain '"
                            + value
                            + "'; there are "
                            + String.join(", ", Strategies.names()));
        }
        return value;
    }

    private static Path jar(String name, String value) {
        Path path = Path.of(value);
        if (!Files.isRegularFile(path)) {
            throw new IllegalArgumentException("variant '" + name + "': no daemon at " + value);
        }
        return path.toAbsolutePath();
    }
}
