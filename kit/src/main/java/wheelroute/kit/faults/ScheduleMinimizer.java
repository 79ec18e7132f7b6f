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
        /** Plays the schedule; whether it still shows the failure. */
        boolean fails(List<Scenario.Fault> faults) throws Exception;
    }

    /** What is left, and after how many plays. */
    public record Result(List<Scenario.Fault> faults, int runs, boolean complete) {}

    /** Shorter or less than this is no simpler. */
    private static final double MIN_LENGTH = 0.2;

    private static final double MIN_SHARE = 0.05;

    private final FailureCheck failureCheck;
    private final int maxRuns;
    private List<Scenario.Fault> faults;
    private int runs;

    private ScheduleMinimizer(List<Scenario.Fault> faults, int mostPlays, FailureCheck player) {
        this.faults = faults;
        this.maxRuns = mostPlays;
        this.failureCheck = player;
    }

    /** The faults given are known to fail. */
    public static Result of(List<Scenario.Fault> faults, int mostPlays, FailureCheck player)
            throws Exception {
        ScheduleMinimizer cut = new ScheduleMinimizer(List.copyOf(faults), mostPlays, player);
        cut.removeFaults();
        cut.shrink(f -> with(f, f.durationSeconds(), f.targetFraction(), 0));
        cut.shrink(
                f ->
                        with(
                                f,
                                Math.max(MIN_LENGTH, round(f.durationSeconds() / 2)),
                                f.targetFraction(),
                                f.startSpreadSeconds()));
        cut.shrink(
                f ->
                        with(
                                f,
                                f.durationSeconds(),
                                Math.max(MIN_SHARE, round(f.targetFraction() / 2)),
                                f.startSpreadSeconds()));
        return new Result(cut.faults, cut.runs, cut.runs < mostPlays);
    }

    private boolean fails(List<Scenario.Fault> some) throws Exception {
        if (runs >= maxRuns) {
            return false;
        }
        runs++;
        return failureCheck.fails(some);
    }

    private void removeFaults() throws Exception {
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

    private void shrink(UnaryOperator<Scenario.Fault> step) throws Exception {
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

    private static double round(double value) {
        return Math.rint(100 * value) / 100;
    }

    private static Scenario.Fault with(
            Scenario.Fault f, double length, double share, double within) {
        return new Scenario.Fault(
                f.kind(),
                f.startSeconds(),
                length,
                f.group(),
                share,
                f.level(),
                f.pick(),
                within,
                f.linkKind(),
                f.workerZone(),
                f.dispatcherZone(),
                f.delaySpreadSeconds(),
                f.mode(),
                f.peerFraction());
    }
}
