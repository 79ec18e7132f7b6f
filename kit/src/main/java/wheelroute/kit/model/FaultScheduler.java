package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import wheelroute.kit.scenario.Scenario;

/** Places the faults of a scenario in the time of a run, and draws their targets from its seed. */
final class FaultScheduler {
    /**
     * Offset of the draws of start times, which keeps them apart from those of targets: these are
     * numbered from 0 on.
     */
    private static final long START_DRAW = -1;

    /** Keeps the draws of different picks apart; within a pick they are numbered by cycle. */
    private static final long DRAWS_PER_PICK = 1000;

    private final Scenario scenario;
    private final SeededRandom random;
    private final List<WorkerModel> workers;

    FaultScheduler(Scenario scenario, SeededRandom random, List<WorkerModel> workers) {
        this.scenario = scenario;
        this.random = random;
        this.workers = workers;
    }

    /** Returns the faults that start within the duration, in the order of their starts. */
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
                            SeededRandom.Purpose.FAULT, drawKey(fault, cycle), START_DRAW - target);
            double ownStartAt = startAt + fault.startSpreadSeconds() * draw;
            schedule.add(scheduledFault(fault, ownStartAt, new int[] {target}));
        }
    }

    private static ClusterModel.ScheduledFault scheduledFault(
            Scenario.Fault fault, double startAt, int[] targets) {
        return new ClusterModel.ScheduledFault(
                fault, startAt, startAt + fault.durationSeconds(), targets);
    }

    /** Faults with the same pick share their draws, and so meet the same targets first. */
    private static long drawKey(Scenario.Fault fault, int cycle) {
        return fault.pick() * DRAWS_PER_PICK + cycle;
    }

    /** Returns the first ones of an order that is drawn anew for each pick and cycle. */
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
