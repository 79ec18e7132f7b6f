package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import wheelroute.kit.scenario.FaultKind;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.Scenario;

/**
 * The workers of a scenario, their endpoint list, and the schedule of all faults of the run.
 *
 * <p>Not thread-safe: all calls come from tasks of the run's timeline.
 */
public final class ClusterModel {
    /** Injects faults into dispatchers' processes and links. */
    public interface DispatcherControl {
        /** Kills the dispatcher's process without letting it drain. */
        void kill(int dispatcher);

        /** Asks the dispatcher's process to drain and end. */
        void terminate(int dispatcher);

        /** Starts a process of the dispatcher, in the mode that the fault gives. */
        void start(int dispatcher, FaultMode mode);

        /** Pauses or resumes the dispatcher's process. */
        default void setPaused(int dispatcher, boolean begins) {
            throw new UnsupportedFaultException("a pause of a dispatcher");
        }

        /**
         * Begins or ends a fault of a dispatcher's links.
         *
         * @param targets all dispatchers that the fault affects
         */
        default void setLinkFault(
                Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
            throw new UnsupportedFaultException("a link fault");
        }

        /** Limits the CPU time of a dispatcher to a fraction of a core; 1 for no limit. */
        default void limitCpu(int dispatcher, double coreFraction) {
            throw new UnsupportedFaultException("a limit of CPU time");
        }

        /**
         * Replaces the dispatcher's process by a second one.
         *
         * @param timeoutSeconds the time within which the replacement must be complete
         */
        default void replace(int dispatcher, FaultMode mode, double timeoutSeconds) {
            throw new UnsupportedFaultException("a replacement of a dispatcher's process");
        }

        /** Adds to the rate of idle connections to the dispatcher; a negative rate subtracts. */
        default void changeFloodRate(int dispatcher, double connectionsPerSecond) {
            throw new UnsupportedFaultException("a flood of idle connections");
        }
    }

    /**
     * A fault with its period and targets in a run.
     *
     * @param startAt in seconds from the start of the run
     * @param endAt in seconds from the start of the run
     * @param targets the numbers of the dispatchers or workers that the fault affects
     */
    public record ScheduledFault(
            Scenario.Fault fault, double startAt, double endAt, int[] targets) {}

    public final Scenario scenario;
    public final Timeline timeline;
    public final SeededRandom random;
    public final EndpointRegistry registry;
    public final List<WorkerModel> workers = new ArrayList<>();
    public final List<ScheduledFault> scheduledFaults;

    /**
     * Creates workers, endpoint list and fault schedule of a scenario.
     *
     * @param seconds the time during which requests arrive
     */
    public ClusterModel(
            Scenario scenario,
            Timeline timeline,
            SeededRandom random,
            double seconds,
            WorkerEventListener listener) {
        this.scenario = scenario;
        this.timeline = timeline;
        this.random = random;
        registry = new EndpointRegistry(timeline, scenario.terms().endpointListLagSeconds());
        ModelContext context =
                new ModelContext(timeline, scenario.terms(), random, registry, listener);
        for (Scenario.WorkerGroup group : scenario.groups()) {
            for (int i = 0; i < group.count(); i++) {
                WorkerModel worker =
                        new WorkerModel(workers.size(), group.name() + "-" + i, group, context);
                workers.add(worker);
                registry.add(worker);
            }
        }
        scheduledFaults = new FaultScheduler(scenario, random, workers).schedule(seconds);
    }

    /** Schedules all faults on the timeline; called once, at the start of the run. */
    public void start(DispatcherControl dispatchers) {
        DispatcherFaults dispatcherFaults = new DispatcherFaults(dispatchers);
        for (ScheduledFault fault : scheduledFaults) {
            timeline.schedule(
                    fault.startAt(), () -> apply(fault, true, dispatchers, dispatcherFaults));
            // Rolling deploys and replacements end by themselves, without an event for their end.
            if (fault.fault().kind() != FaultKind.ROLLING_DEPLOY
                    && fault.fault().kind() != FaultKind.DISPATCHER_REPLACE) {
                timeline.schedule(
                        fault.endAt(), () -> apply(fault, false, dispatchers, dispatcherFaults));
            }
        }
    }

    private void apply(
            ScheduledFault scheduled,
            boolean begins,
            DispatcherControl dispatchers,
            DispatcherFaults dispatcherFaults) {
        Scenario.Fault fault = scheduled.fault();
        switch (fault.kind()) {
            case DISCOVERY_DOWN -> registry.setDown(begins);
            case DISCOVERY_DELAY -> registry.addLag(begins ? fault.level() : -fault.level());
            case ROLLING_DEPLOY -> deploy(scheduled);
            case DISPATCHER_KILL, DISPATCHER_RESTART ->
                    forEachTarget(
                            scheduled,
                            dispatcher -> dispatcherFaults.setDown(scheduled, dispatcher, begins));
            case DISPATCHER_PAUSE ->
                    forEachTarget(
                            scheduled,
                            dispatcher ->
                                    dispatcherFaults.setPaused(scheduled, dispatcher, begins));
            case DISPATCHER_CPU_LIMIT ->
                    forEachTarget(
                            scheduled,
                            dispatcher ->
                                    dispatcherFaults.setCpuLimited(scheduled, dispatcher, begins));
            case DISPATCHER_REPLACE -> replace(scheduled, begins, dispatchers);
            case IDLE_CONNECTION_FLOOD -> changeFloodRate(scheduled, begins, dispatchers);
            default -> {
                if (fault.kind().affectsLinks()) {
                    setLinkFault(scheduled, begins, dispatchers);
                } else {
                    forEachTarget(scheduled, worker -> apply(workers.get(worker), fault, begins));
                }
            }
        }
    }

    private static void forEachTarget(ScheduledFault fault, IntConsumer task) {
        Arrays.stream(fault.targets()).forEach(task);
    }

    private static void replace(
            ScheduledFault scheduled, boolean begins, DispatcherControl dispatchers) {
        Scenario.Fault fault = scheduled.fault();
        if (begins) {
            forEachTarget(
                    scheduled,
                    dispatcher ->
                            dispatchers.replace(dispatcher, fault.mode(), fault.durationSeconds()));
        }
    }

    /** Adds or subtracts a flood of connections; the fault's level is the rate over all targets. */
    private static void changeFloodRate(
            ScheduledFault scheduled, boolean begins, DispatcherControl dispatchers) {
        double change = (begins ? 1 : -1) * scheduled.fault().level() / scheduled.targets().length;
        forEachTarget(scheduled, dispatcher -> dispatchers.changeFloodRate(dispatcher, change));
    }

    private static void setLinkFault(
            ScheduledFault scheduled, boolean begins, DispatcherControl dispatchers) {
        forEachTarget(
                scheduled,
                dispatcher ->
                        dispatchers.setLinkFault(
                                scheduled.fault(), dispatcher, scheduled.targets(), begins));
    }

    private static void apply(WorkerModel worker, Scenario.Fault fault, boolean begins) {
        double level = fault.level();
        switch (fault.kind()) {
            case ERROR_BURST -> worker.changeFailureFraction(begins ? level : -level);
            case STALL -> worker.setStalled(begins);
            case SLOWDOWN -> worker.changeSpeed(begins ? level : 1 / level);
            case UNRESPONSIVE -> worker.setUnresponsive(begins);
            case PARTITION -> worker.setPartitioned(begins);
            case CRASH -> runTransition(begins, worker::crash, worker::start);
            case DRAIN -> runTransition(begins, worker::drain, worker::start);
            case LOAD_REPORT_DELAY -> worker.changeReportDelay(begins ? level : -level);
            default -> throw new UnsupportedFaultException(fault.kind() + " at a worker");
        }
    }

    private static void runTransition(boolean begins, Runnable atBegin, Runnable atEnd) {
        (begins ? atBegin : atEnd).run();
    }

    /**
     * Restarts the targets in batches; the fault's level is the batch size, and each batch has an
     * equal part of the fault's duration.
     */
    private void deploy(ScheduledFault scheduled) {
        int batchSize = (int) Math.max(1, Math.round(scheduled.fault().level()));
        int[] targets = scheduled.targets();
        int batches = (targets.length + batchSize - 1) / batchSize;
        double batchSeconds = scheduled.fault().durationSeconds() / batches;
        for (int i = 0; i < targets.length; i++) {
            WorkerModel worker = workers.get(targets[i]);
            int batch = i / batchSize;
            double delaySeconds = batch * batchSeconds;
            timeline.schedule(delaySeconds, worker::drain);
            timeline.schedule(delaySeconds + batchSeconds, worker::start);
        }
    }
}
