package wheelroute.kit.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import wheelroute.kit.scenario.Scenario;

/**
 * Makes a schedule that fails smaller, as long as it still fails: first fewer faults, halves of
 * them before single ones, then shorter, fewer met, all at once. Pure: who plays a schedule says
 * whether it fails.
 */
public final class ScheduleMinimizer {
    /** Plays one; true if it still fails. */
    public interface FailureCheck {
        boolean fails(List<Scenario.Fault> faults) throws Exception;
    }

    /** What is left, and after how many plays. */
    public record Result(List<Scenario.Fault> faults, int plays, boolean whole) {}

    /** Shorter or less than this is no simpler. */
    private static final double LEAST_LENGTH = 0.2;

    private static final double LEAST_SHARE = 0.05;

    private final FailureCheck player;
    private final int mostPlays;
    private List<Scenario.Fault> faults;
    private int plays;

    private ScheduleMinimizer(List<Scenario.Fault> faults, int mostPlays, FailureCheck player) {
        this.faults = faults;
        this.mostPlays = mostPlays;
        this.player = player;
    }

    /** The faults given are known to fail. */
    public static Result of(List<Scenario.Fault> faults, int mostPlays, FailureCheck player)
            throws Exception {
        ScheduleMinimizer cut = new ScheduleMinimizer(List.copyOf(faults), mostPlays, player);
        cut.fewer();
        cut.smaller(f -> with(f, f.length(), f.share(), 0));
        cut.smaller(
                f ->
                        with(
                                f,
                                Math.max(LEAST_LENGTH, rounded(f.length() / 2)),
                                f.share(),
                                f.within()));
        cut.smaller(
                f ->
                        with(
                                f,
                                f.length(),
                                Math.max(LEAST_SHARE, rounded(f.share() / 2)),
                                f.within()));
        return new Result(cut.faults, cut.plays, cut.plays < mostPlays);
    }

    private boolean fails(List<Scenario.Fault> some) throws Exception {
        if (plays >= mostPlays) {
            return false;
        }
        plays++;
        return player.fails(some);
    }

    private void fewer() throws Exception {
        int size = (faults.size() + 1) / 2;
        while (size >= 1 && faults.size() > 1) {
            boolean cut = false;
            for (int from = 0; from < faults.size() && faults.size() > 1; ) {
                List<Scenario.Fault> rest = new ArrayList<>(faults);
                rest.subList(from, Math.min(rest.size(), from + size)).clear();
                if (!rest.isEmpty() && fails(rest)) {
                    faults = List.copyOf(rest);
                    cut = true;
                } else {
                    from += size;
                }
            }
            // What could not go before may go now that others have.
            size = cut ? Math.min(size, (faults.size() + 1) / 2) : size / 2;
        }
    }

    private void smaller(UnaryOperator<Scenario.Fault> step) throws Exception {
        for (int i = 0; i < faults.size(); i++) {
            Scenario.Fault less = step.apply(faults.get(i));
            while (!less.equals(faults.get(i))) {
                List<Scenario.Fault> changed = new ArrayList<>(faults);
                changed.set(i, less);
                if (!fails(changed)) {
                    break;
                }
                faults = List.copyOf(changed);
                less = step.apply(less);
            }
        }
    }

    private static double rounded(double value) {
        return Math.rint(100 * value) / 100;
    }

    private static Scenario.Fault with(
            Scenario.Fault f, double length, double share, double within) {
        return new Scenario.Fault(
                f.kind(),
                f.at(),
                length,
                f.group(),
                share,
                f.level(),
                f.pick(),
                within,
                f.to(),
                f.zone(),
                f.from(),
                f.spread(),
                f.how(),
                f.others());
    }
}
