package wheelroute.kit.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wheelroute.kit.scenario.Scenario;

/**
 * All runs of a rehearsal on one clock, in the order of their reports.
 *
 * @param durationSeconds for how long requests arrive; 0 for the scenario's duration
 * @param quick whether a run is limited to {@link #QUICK_SECONDS}
 * @param olderJar the daemon of an older build, which some faults start; null for none
 */
public record Plan(
        List<Scenario> scenarios,
        List<Long> seeds,
        List<Variant> variants,
        Clock clock,
        double durationSeconds,
        boolean quick,
        Path olderJar) {
    /** The time for which requests arrive in a quick run, at most. */
    public static final double QUICK_SECONDS = 30;

    /** The clock that a run uses. */
    public enum Clock {
        /** The dispatchers are simulated in simulated time. */
        VIRTUAL,
        /** The dispatchers are processes that communicate over sockets. */
        REAL;

        /** Returns the name of the clock on the command line, in scenarios and in reports. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * One run of a plan.
     *
     * @param index the position of the run in {@link Plan#items}
     */
    public record Item(
            int index, Scenario scenario, long seed, Variant variant, double durationSeconds) {
        /** Returns a copy of this run with another scenario. */
        public Item with(Scenario other) {
            return new Item(index, other, seed, variant, durationSeconds);
        }

        /** Returns the scenario, the seed and the variant as text. */
        public String text() {
            return scenario.name() + ", seed " + seed + ", " + variant.name();
        }
    }

    /** Returns all runs, in the order of scenarios, variants and seeds. */
    public List<Item> items() {
        List<Item> items = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            double itemSeconds = secondsOf(scenario);
            for (Variant variant : variants) {
                for (long seed : seeds) {
                    items.add(new Item(items.size(), scenario, seed, variant, itemSeconds));
                }
            }
        }
        return items;
    }

    private double secondsOf(Scenario scenario) {
        double full = durationSeconds > 0 ? durationSeconds : scenario.durationSeconds();
        return quick ? Math.min(full, QUICK_SECONDS) : full;
    }
}
