package wheelroute.kit.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import wheelroute.kit.scenario.Scenario;

/**
 * All runs of a rehearsal, in the order of its reports.
 *
 * @param older the jar of the build that faults call older; null for none
 */
public record Plan(
        List<Scenario> scenarios,
        List<Long> seeds,
        List<Variant> variants,
        Clock clock,
        double seconds,
        boolean quick,
        Path older) {
    /** A quick run lasts no longer than this. */
    public static final double QUICK_SECONDS = 30;

    /** Which time a plan is played in. */
    public enum Clock {
        VIRTUAL,
        REAL;

        /** How the command line and reports name the clock. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** One run; at is its place in the plan. */
    public record Item(int at, Scenario scenario, long seed, Variant variant, double seconds) {
        /** The same run of another scenario. */
        public Item with(Scenario other) {
            return new Item(at, other, seed, variant, seconds);
        }

        /** The item in a line. */
        public String text() {
            return scenario.name() + ", seed " + seed + ", " + variant.name();
        }
    }

    /** All plays, in the order of scenarios, variants and seeds. */
    public List<Item> items() {
        List<Item> items = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            double length = seconds > 0 ? seconds : scenario.seconds();
            if (quick) {
                length = Math.min(length, QUICK_SECONDS);
            }
            for (Variant variant : variants) {
                for (long seed : seeds) {
                    items.add(new Item(items.size(), scenario, seed, variant, length));
                }
            }
        }
        return items;
    }
}
