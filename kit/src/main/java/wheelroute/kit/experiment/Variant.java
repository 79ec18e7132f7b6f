package wheelroute.kit.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import wheelroute.kit.strategy.Strategies;

/**
 * A dispatcher to compare with others, given by its strategy or build and by its settings.
 *
 * @param strategy the name of the strategy that makes the decisions on the virtual clock
 * @param jar the daemon of another build, for the real clock; null for that of this build
 * @param settings values by path, which take precedence over those of the scenario
 */
public record Variant(String name, String strategy, Path jar, Map<String, String> settings) {
    /** The variant of this build with the scenario's settings. */
    public static final Variant DEFAULT =
            new Variant("as-built", Strategies.POLICY, null, Map.of());

    /** The key of the strategy; keys other than this and the key of the jar are setting paths. */
    private static final String STRATEGY_KEY = "brain";

    private static final String JAR_KEY = "daemon";

    /** Returns the variant in which a baseline strategy makes the decisions. */
    public static Variant baseline(String strategy) {
        return new Variant(strategy, strategy, null, Map.of());
    }

    /**
     * Parses a text of the form NAME:KEY=VALUE,KEY=VALUE.
     *
     * @throws InvalidVariantException if the text is malformed, or names an unknown strategy or a
     *     missing jar
     */
    public static Variant parse(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        if (name.isEmpty()) {
            throw new InvalidVariantException(
                    "variant '" + text + "': empty name, expected NAME:KEY=VALUE,...");
        }
        String strategy = Strategies.POLICY;
        Path jar = null;
        Map<String, String> settings = parsePairs(name, colon < 0 ? "" : text.substring(colon + 1));
        if (settings.containsKey(STRATEGY_KEY)) {
            strategy = checkedStrategy(name, settings.remove(STRATEGY_KEY));
        }
        if (settings.containsKey(JAR_KEY)) {
            jar = existingJar(name, settings.remove(JAR_KEY));
        }
        return new Variant(name, strategy, jar, settings);
    }

    private static Map<String, String> parsePairs(String name, String text) {
        Map<String, String> pairs = new LinkedHashMap<>();
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int equalsSign = pair.indexOf('=');
            if (equalsSign < 1) {
                throw new InvalidVariantException(
                        "variant '" + name + "': expected KEY=VALUE, got '" + pair + "'");
            }
            String value = pair.substring(equalsSign + 1).trim();
            pairs.put(pair.substring(0, equalsSign).trim(), value);
        }
        return pairs;
    }

    private static String checkedStrategy(String variant, String strategy) {
        if (!Strategies.names().contains(strategy)) {
            throw new InvalidVariantException(
                    "variant '"
                            + variant
                            + "': unknown strategy '"
                            + strategy
                            + "', expected one of "
                            + String.join(", ", Strategies.names()));
        }
        return strategy;
    }

    private static Path existingJar(String variant, String path) {
        Path jar = Path.of(path);
        if (!Files.isRegularFile(jar)) {
            throw new InvalidVariantException(
                    "variant '" + variant + "': daemon jar not found: " + path);
        }
        return jar.toAbsolutePath();
    }
}
