package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import wheelroute.kit.scenario.Scenario;

/** Workers, their list and their faults, put together from a scenario and a seed. */
public final class ClusterModel {
    /** Draws of moments lie far from those of targets, which are numbered from 0. */
    private static final long MOMENT = -1;

    /**
     * Who can end a dispatcher and start it again, and do more to real processes and their ways.
     */
    public interface DispatcherControl {
        /** Kills the dispatcher's process at once. */
        void kill(int dispatcher);

        /** Tells the dispatcher's process to end in order. */
        void terminate(int dispatcher);

        /** Starts a process of the dispatcher. */
        void start(int dispatcher, Scenario.How how);

        /** Its process stands still, or goes on. */
        default void setPaused(int dispatcher, boolean begins) {
            throw new IllegalStateException("no process stands still here");
        }

        /**
         * The ways of a dispatcher that the fault is about are harmed, or heal; targets are all it
         * meets.
         */
        default void setLinkFault(
                Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
            throw new IllegalStateException("no ways are harmed here");
        }

        /** It gets a core for no more than this share of the time; 1 for as it likes. */
        default void limitCpu(int dispatcher, double share) {
            throw new IllegalStateException("no process shares a core here");
        }

        /** A second process takes its place. */
        default void replace(int dispatcher, Scenario.How how, double limit) {
            throw new IllegalStateException("no process is replaced here");
        }

        /** So many more strangers a second come to it; under 0 so many fewer. */
        default void changeFloodRate(int dispatcher, double rate) {
            throw new IllegalStateException("no strangers come here");
        }
    }

    /** A fault with its time in the run and those it meets. */
    public record ScheduledFault(Scenario.Fault fault, double start, double end, int[] targets) {}

    public final Scenario scenario;
    public final Timeline timeline;
    public final SeededRandom random;
    public final EndpointRegistry registry;
    public final List<WorkerModel> workers = new ArrayList<>();
    public final List<ScheduledFault> scheduledFaults;

    /**
     * By dispatcher, the faults that keep it down, or still: it is up again when the last of them
     * is over.
     */
    private final Map<Integer, Set<ScheduledFault>> outages = new HashMap<>();

    private final Map<Integer, Set<ScheduledFault>> pauses = new HashMap<>();
    private final Map<Integer, Set<ScheduledFault>> starvations = new HashMap<>();

    /** Makes workers, endpoint list and fault schedule of one scenario. */
    public ClusterModel(
            Scenario scenario,
            Timeline timeline,
            SeededRandom random,
            double seconds,
            EventListener listener) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.random = random;
        registry = new EndpointRegistry(timeline, scenario.terms().listLag());
        for (Scenario.WorkerGroup group : scenario.groups()) {
            for (int i = 0; i < group.count(); i++) {
                WorkerModel worker =
                        new WorkerModel(
                                workers.size(),
                                group.name() + "-" + i,
                                group,
                                timeline,
                                scenario.terms(),
                                random,
                                registry,
                                listener);
                workers.add(worker);
                registry.add(worker);
            }
        }
        scheduledFaults = scheduleFaults(seconds);
    }

    private List<ScheduledFault> scheduleFaults(double seconds) {
        List<ScheduledFault> all = new ArrayList<>();
        for (int cycle = 0; cycle * scenario.cycle() < seconds; cycle++) {
            for (Scenario.Fault fault : scenario.faults()) {
                double from = cycle * scenario.cycle() + fault.start();
                if (from >= seconds) {
                    continue;
                }
                int[] targets = targets(fault, cycle);
                if (fault.startSpread() == 0) {
                    all.add(new ScheduledFault(fault, from, from + fault.length(), targets));
                } else {
                    // A moment of its own for each, which depends on the seed alone.
                    for (int target : targets) {
                        double at =
                                from
                                        + fault.startSpread()
                                                * random.uniform(
                                                        SeededRandom.Purpose.FAULT,
                                                        fault.pick() * 1000L + cycle,
                                                        MOMENT - target);
                        all.add(
                                new ScheduledFault(
                                        fault, at, at + fault.length(), new int[] {target}));
                    }
                }
            }
        }
        all.sort(Comparator.comparingDouble(ScheduledFault::start));
        return all;
    }

    /**
     * The first so many of an order that chance makes anew each cycle, but the same for one pick.
     */
    private int[] targets(Scenario.Fault fault, int cycle) {
        List<Integer> open = new ArrayList<>();
        if (fault.kind().affectsDispatchers()) {
            for (int i = 0; i < scenario.dispatchers(); i++) {
                if (fault.from().isEmpty() || fault.from().equals(scenario.zoneOf(i))) {
                    open.add(i);
                }
            }
        } else {
            workers.stream().filter(w -> fault.matches(w.group)).forEach(w -> open.add(w.number));
        }
        long pick = fault.pick() * 1000L + cycle;
        open.sort(
                Comparator.comparingLong(i -> random.seedOf(SeededRandom.Purpose.FAULT, pick, i)));
        int count = (int) Math.max(1, Math.round(fault.share() * open.size()));
        return open.stream().limit(count).mapToInt(i -> i).toArray();
    }

    /** Sets every fault on the timeline, which must stand at the start of the run. */
    public void start(DispatcherControl dispatchers) {
        for (ScheduledFault happening : scheduledFaults) {
            timeline.schedule(happening.start(), () -> apply(happening, true, dispatchers));
            // A replacement's own end is not ours to set.
            if (happening.fault().kind() != Scenario.Kind.DEPLOY
                    && happening.fault().kind() != Scenario.Kind.DISPATCHER_REPLACE) {
                timeline.schedule(happening.end(), () -> apply(happening, false, dispatchers));
            }
        }
    }

    private void apply(ScheduledFault happening, boolean begins, DispatcherControl dispatchers) {
        Scenario.Fault fault = happening.fault();
        switch (fault.kind()) {
            case LIST_DOWN -> registry.setDown(begins);
            case LIST_LATE -> registry.addLag(begins ? fault.level() : -fault.level());
            case DEPLOY -> deploy(happening);
            case DISPATCHER_KILL, DISPATCHER_RESTART ->
                    forEachTarget(
                            happening,
                            dispatcher -> setDown(happening, dispatcher, begins, dispatchers));
            case DISPATCHER_PAUSE ->
                    forEachTarget(
                            happening,
                            dispatcher -> setPaused(happening, dispatcher, begins, dispatchers));
            case DISPATCHER_STARVE ->
                    forEachTarget(
                            happening,
                            dispatcher -> setStarved(happening, dispatcher, begins, dispatchers));
            case DISPATCHER_REPLACE ->
                    forEachTarget(
                            happening,
                            dispatcher -> {
                                if (begins) {
                                    dispatchers.replace(dispatcher, fault.how(), fault.length());
                                }
                            });
            case CROWD ->
                    forEachTarget(
                            happening,
                            dispatcher ->
                                    dispatchers.changeFloodRate(
                                            dispatcher,
                                            (begins ? 1 : -1)
                                                    * fault.level()
                                                    / happening.targets().length));
            case LINK_CUT,
                    LINK_REFUSE,
                    LINK_ONE_WAY,
                    LINK_UNHEARD,
                    LINK_SLOW,
                    LINK_LOSS,
                    LINK_TRICKLE,
                    LINK_DOUBLE,
                    LIST_CUT ->
                    forEachTarget(
                            happening,
                            dispatcher ->
                                    dispatchers.setLinkFault(
                                            fault, dispatcher, happening.targets(), begins));
            default ->
                    Arrays.stream(happening.targets())
                            .mapToObj(workers::get)
                            .forEach(worker -> apply(worker, fault, begins));
        }
    }

    private static void forEachTarget(ScheduledFault happening, IntConsumer task) {
        Arrays.stream(happening.targets()).forEach(task);
    }

    private static Set<ScheduledFault> faultsOf(
            Map<Integer, Set<ScheduledFault>> faults, int dispatcher) {
        return faults.computeIfAbsent(dispatcher, d -> new LinkedHashSet<>());
    }

    private void setDown(
            ScheduledFault happening,
            int dispatcher,
            boolean begins,
            DispatcherControl dispatchers) {
        Set<ScheduledFault> all = faultsOf(outages, dispatcher);
        if (begins) {
            boolean first = all.isEmpty();
            all.add(happening);
            if (happening.fault().kind() == Scenario.Kind.DISPATCHER_KILL) {
                // Also one that was told to end: it may still be at it.
                faultsOf(pauses, dispatcher).clear();
                dispatchers.kill(dispatcher);
            } else if (first) {
                dispatchers.terminate(dispatcher);
            }
        } else if (all.remove(happening) && all.isEmpty()) {
            faultsOf(pauses, dispatcher).clear();
            dispatchers.start(dispatcher, happening.fault().how());
        }
    }

    private void setPaused(
            ScheduledFault happening,
            int dispatcher,
            boolean begins,
            DispatcherControl dispatchers) {
        Set<ScheduledFault> all = faultsOf(pauses, dispatcher);
        // One that is down cannot stand still, nor does the next one at its start.
        if (begins && faultsOf(outages, dispatcher).isEmpty()) {
            all.add(happening);
            if (all.size() == 1) {
                dispatchers.setPaused(dispatcher, true);
            }
        } else if (!begins && all.remove(happening) && all.isEmpty()) {
            dispatchers.setPaused(dispatcher, false);
        }
    }

    private void setStarved(
            ScheduledFault happening,
            int dispatcher,
            boolean begins,
            DispatcherControl dispatchers) {
        Set<ScheduledFault> all = faultsOf(starvations, dispatcher);
        if (begins) {
            all.add(happening);
        } else {
            all.remove(happening);
        }
        dispatchers.limitCpu(
                dispatcher, all.stream().mapToDouble(h -> h.fault().level()).min().orElse(1));
    }

    private static void apply(WorkerModel worker, Scenario.Fault fault, boolean begins) {
        double level = fault.level();
        switch (fault.kind()) {
            case BURST -> worker.changeFailureRate(begins ? level : -level);
            case STALL -> worker.setStalled(begins);
            case SLOW -> worker.changeSpeed(begins ? level : 1 / level);
            case SILENCE -> worker.setSilent(begins);
            case VANISH -> worker.setPartitioned(begins);
            case CRASH -> {
                if (begins) {
                    worker.crash();
                } else {
                    worker.start();
                }
            }
            case DRAIN -> {
                if (begins) {
                    worker.drain();
                } else {
                    worker.start();
                }
            }
            case LATE_REPORTS -> worker.delayReports(begins ? level : -level);
            default -> throw new IllegalStateException("no fault of a worker: " + fault.kind());
        }
    }

    /**
     * One group after the other, each of so many workers as the level says, in equal parts of the
     * length.
     */
    private void deploy(ScheduledFault happening) {
        int atOnce = (int) Math.max(1, Math.round(happening.fault().level()));
        int[] targets = happening.targets();
        int steps = (targets.length + atOnce - 1) / atOnce;
        double step = happening.fault().length() / steps;
        for (int i = 0; i < targets.length; i++) {
            WorkerModel worker = workers.get(targets[i]);
            int round = i / atOnce;
            double at = round * step;
            timeline.schedule(at, worker::drain);
            timeline.schedule(at + step, worker::start);
        }
    }
}
