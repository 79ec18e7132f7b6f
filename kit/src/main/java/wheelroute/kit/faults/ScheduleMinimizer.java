package wheelroute.kit.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import wheelroute.kit.scenario.Scenario;

/**
 * Minimizes a fault schedule that makes a run fail, by delta debugging. First removes faults, from
 * halves of the schedule down to single faults; then removes the spread of the remaining faults'
 * start times, shortens the faults and reduces their targets, as long as the run still fails.
 */
public final class ScheduleMinimizer {
    /** Checks whether a candidate schedule still makes a run fail. */
    public interface FailureCheck {
        /** Runs the schedule and returns whether the run shows the failure. */
        boolean fails(List<Scenario.Fault> faults) throws Exception;
    }

    /**
     * A minimized schedule.
     *
     * @param faults the remaining faults
     * @param runs number of schedules that were run
     * @param complete whether minimization finished before the limit of runs was reached
     */
    public record Result(List<Scenario.Fault> faults, int runs, boolean complete) {}

    private static final double MIN_DURATION_SECONDS = 0.2;
    private static final double MIN_TARGET_FRACTION = 0.05;

    /** Durations and fractions are rounded to hundredths, so that a schedule is easy to read. */
    private static final double ROUNDING_STEPS = 100;

    private final FailureCheck failureCheck;
    private final int maxRuns;
    private List<Scenario.Fault> faults;
    private int runs;

    private ScheduleMinimizer(List<Scenario.Fault> faults, int maxRuns, FailureCheck failureCheck) {
        this.faults = faults;
        this.maxRuns = maxRuns;
        this.failureCheck = failureCheck;
    }

    /**
     * Minimizes a schedule that is known to fail.
     *
     * @param maxRuns maximum number of runs of the check
     * @throws Exception if the check throws it
     */
    public static Result of(List<Scenario.Fault> faults, int maxRuns, FailureCheck failureCheck)
            throws Exception {
        ScheduleMinimizer minimizer =
                new ScheduleMinimizer(List.copyOf(faults), maxRuns, failureCheck);
        minimizer.removeFaults();
        minimizer.shrink(ScheduleMinimizer::withoutStartSpread);
        minimizer.shrink(ScheduleMinimizer::withHalfDuration);
        minimizer.shrink(ScheduleMinimizer::withHalfTargets);
        return new Result(minimizer.faults, minimizer.runs, minimizer.runs < maxRuns);
    }

    private boolean fails(List<Scenario.Fault> candidate) throws Exception {
        if (runs >= maxRuns) {
            return false;
        }
        runs++;
        return failureCheck.fails(candidate);
    }

    private void removeFaults() throws Exception {
        int chunkSize = halfRoundedUp(faults.size());
        while (chunkSize >= 1 && faults.size() > 1) {
            boolean hasRemoved = removeChunks(chunkSize);
            // After a removal, faults that were needed before may no longer be.
            chunkSize =
                    hasRemoved ? Math.min(chunkSize, halfRoundedUp(faults.size())) : chunkSize / 2;
        }
    }

    private static int halfRoundedUp(int size) {
        return (size + 1) / 2;
    }

    /**
     * Removes each chunk of the schedule without which the run still fails.
     *
     * @return whether a chunk was removed
     */
    private boolean removeChunks(int chunkSize) throws Exception {
        boolean hasRemoved = false;
        int from = 0;
        while (from < faults.size() && faults.size() > 1) {
            List<Scenario.Fault> rest = new ArrayList<>(faults);
            rest.subList(from, Math.min(rest.size(), from + chunkSize)).clear();
            if (!rest.isEmpty() && fails(rest)) {
                faults = List.copyOf(rest);
                hasRemoved = true;
            } else {
                from += chunkSize;
            }
        }
        return hasRemoved;
    }

    /** Repeats a step on each fault while the step changes the fault and the run still fails. */
    private void shrink(UnaryOperator<Scenario.Fault> step) throws Exception {
        for (int i = 0; i < faults.size(); i++) {
            Scenario.Fault smaller = step.apply(faults.get(i));
            while (!smaller.equals(faults.get(i))) {
                List<Scenario.Fault> candidate = new ArrayList<>(faults);
                candidate.set(i, smaller);
                if (!fails(candidate)) {
                    break;
                }
                faults = List.copyOf(candidate);
                smaller = step.apply(smaller);
            }
        }
    }

    private static Scenario.Fault withoutStartSpread(Scenario.Fault fault) {
        return with(fault, fault.durationSeconds(), fault.targetFraction(), 0);
    }

    private static Scenario.Fault withHalfDuration(Scenario.Fault fault) {
        double durationSeconds =
                Math.max(MIN_DURATION_SECONDS, rounded(fault.durationSeconds() / 2));
        return with(fault, durationSeconds, fault.targetFraction(), fault.startSpreadSeconds());
    }

    private static Scenario.Fault withHalfTargets(Scenario.Fault fault) {
        double targetFraction = Math.max(MIN_TARGET_FRACTION, rounded(fault.targetFraction() / 2));
        return with(fault, fault.durationSeconds(), targetFraction, fault.startSpreadSeconds());
    }

    private static double rounded(double value) {
        return Math.rint(ROUNDING_STEPS * value) / ROUNDING_STEPS;
    }

    private static Scenario.Fault with(
            Scenario.Fault fault,
            double durationSeconds,
            double targetFraction,
            double startSpreadSeconds) {
        return new Scenario.Fault(
                fault.kind(),
                fault.startSeconds(),
                durationSeconds,
                fault.group(),
                targetFraction,
                fault.level(),
                fault.pick(),
                startSpreadSeconds,
                fault.linkKind(),
                fault.workerZone(),
                fault.dispatcherZone(),
                fault.delaySpreadSeconds(),
                fault.mode(),
                fault.peerFraction());
    }
}
