package wheelroute.kit.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import wheelroute.kit.strategy.Strategies;

/**
 * A dispatcher to compare with others: its strategy or build, and its settings.
 *
 * @param strategy the name of the strategy that decides on the virtual clock
 * @param jar another build's daemon for the real clock; null for this build's
 * @param settings by path, which precede those of the scenario
 */
public record Variant(String name, String strategy, Path jar, Map<String, String> settings) {
    /** This build with the scenario's settings. */
    public static final Variant USUAL = new Variant("as-built", Strategies.POLICY, null, Map.of());

    /** Keys of a variant's text; all others are paths of settings. */
    private static final String STRATEGY_KEY = "brain";

    private static final String JAR_KEY = "daemon";

    /** Returns the variant in which a baseline strategy decides. */
    public static Variant baseline(String strategy) {
        return new Variant(strategy, strategy, null, Map.of());
    }

    /**
     * Parses NAME:KEY=VALUE,KEY=VALUE.
     *
     * @throws InvalidVariantException with a message that names the fault
     */
    public static Variant parse(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        if (name.isEmpty()) {
            throw new InvalidVariantException(
                    "variant '" + text + "' has no name before its colon");
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
                        "variant '" + name + "': '" + pair + "' is not KEY=VALUE");
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
                            + "': no strategy '"
                            + strategy
                            + "'; there are "
                            + String.join(", ", Strategies.names()));
        }
        return strategy;
    }

    private static Path existingJar(String variant, String path) {
        Path jar = Path.of(path);
        if (!Files.isRegularFile(jar)) {
            throw new InvalidVariantException("variant '" + variant + "': no daemon at " + path);
        }
        return jar.toAbsolutePath();
    }
}
