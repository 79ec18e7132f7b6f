package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.MILLIS_PER_SECOND;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A call of the discovery protocol that waits for changes of the endpoint list.
 *
 * @param version version of the list that the caller has; newer changes are requested
 * @param holdSeconds time after which the call is answered even without changes
 */
public record DiscoveryWatch(long version, double holdSeconds) {
    private static final Pattern TARGET =
            Pattern.compile("/v1/servers\\?from=(\\d{1,18})&hold_ms=(\\d{1,6})");

    /**
     * Returns the watch that a request target encodes; empty if the target is not that of a watch.
     */
    public static Optional<DiscoveryWatch> parse(String target) {
        Matcher watch = TARGET.matcher(target);
        if (!watch.matches()) {
            return Optional.empty();
        }
        return Optional.of(
                new DiscoveryWatch(
                        Long.parseLong(watch.group(1)),
                        Double.parseDouble(watch.group(2)) / MILLIS_PER_SECOND));
    }
}
