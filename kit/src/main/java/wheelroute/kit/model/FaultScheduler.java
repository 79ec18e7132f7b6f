package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import wheelroute.kit.scenario.Scenario;

/** Schedules the faults of a scenario in a run, and draws their targets from the run's seed. */
final class FaultScheduler {
    /**
     * The offset of the draws of start times, which are numbered downwards from -1. The draws of
     * targets are numbered upwards from 0, so that the two never share a number.
     */
    private static final long START_DRAW_OFFSET = -1;

    /** The number of draw keys reserved for each pick, which uses one per cycle. */
    private static final long DRAWS_PER_PICK = 1000;

    private final Scenario scenario;
    private final SeededRandom random;
    private final List<WorkerModel> workers;

    FaultScheduler(Scenario scenario, SeededRandom random, List<WorkerModel> workers) {
        this.scenario = scenario;
        this.random = random;
        this.workers = workers;
    }

    /** Returns the faults that start within a run of this duration, ordered by start time. */
    List<ClusterModel.ScheduledFault> schedule(double durationSeconds) {
        List<ClusterModel.ScheduledFault> all = new ArrayList<>();
        for (int cycle = 0; cycle * scenario.cycleSeconds() < durationSeconds; cycle++) {
            for (Scenario.Fault fault : scenario.faults()) {
                double startAt = cycle * scenario.cycleSeconds() + fault.startSeconds();
                if (startAt < durationSeconds) {
                    addFault(fault, cycle, startAt, all);
                }
            }
        }
        all.sort(Comparator.comparingDouble(ClusterModel.ScheduledFault::startAt));
        return all;
    }

    private void addFault(
            Scenario.Fault fault,
            int cycle,
            double startAt,
            List<ClusterModel.ScheduledFault> schedule) {
        int[] targets = targets(fault, cycle);
        if (fault.startSpreadSeconds() == 0) {
            schedule.add(scheduledFault(fault, startAt, targets));
            return;
        }
        for (int target : targets) {
            double draw =
                    random.uniform(
                            SeededRandom.Purpose.FAULT,
                            drawKey(fault, cycle),
                            START_DRAW_OFFSET - target);
            double ownStartAt = startAt + fault.startSpreadSeconds() * draw;
            schedule.add(scheduledFault(fault, ownStartAt, new int[] {target}));
        }
    }

    private static ClusterModel.ScheduledFault scheduledFault(
            Scenario.Fault fault, double startAt, int[] targets) {
        return new ClusterModel.ScheduledFault(
                fault, startAt, startAt + fault.durationSeconds(), targets);
    }

    /**
     * Returns the key of a fault's draws in a cycle. Faults with the same pick share draws, and so
     * affect targets in the same order.
     */
    private static long drawKey(Scenario.Fault fault, int cycle) {
        return fault.pick() * DRAWS_PER_PICK + cycle;
    }

    /**
     * Returns the targets of a fault: the first candidates of a random order, which is drawn for
     * each pick and cycle.
     */
    private int[] targets(Scenario.Fault fault, int cycle) {
        List<Integer> candidates = candidates(fault);
        long key = drawKey(fault, cycle);
        candidates.sort(
                Comparator.comparingLong(i -> random.seedOf(SeededRandom.Purpose.FAULT, key, i)));
        int count = (int) Math.max(1, Math.round(fault.targetFraction() * candidates.size()));
        return candidates.stream().limit(count).mapToInt(i -> i).toArray();
    }

    private List<Integer> candidates(Scenario.Fault fault) {
        List<Integer> candidates = new ArrayList<>();
        if (fault.kind().affectsDispatchers()) {
            for (int i = 0; i < scenario.dispatcherCount(); i++) {
                if (fault.dispatcherZone().isEmpty()
                        || fault.dispatcherZone().equals(scenario.zoneOf(i))) {
                    candidates.add(i);
                }
            }
        } else {
            workers.stream()
                    .filter(worker -> fault.affects(worker.group))
                    .forEach(worker -> candidates.add(worker.number));
        }
        return candidates;
    }
}
