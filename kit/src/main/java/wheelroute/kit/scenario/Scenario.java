package wheelroute.kit.scenario;

import java.util.List;
import java.util.Map;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * What a run consists of, and what must hold at its end. Work is in seconds on a worker of speed 1.
 *
 * @param durationSeconds how long requests arrive, unless the command line says otherwise
 * @param cycleSeconds the period after which load and faults repeat
 * @param clocks the labels of the clocks on which it can run
 * @param zones assigned to the dispatchers in turn; if empty, all are in the first group's zone
 * @param peersEnabled whether dispatchers are peers of each other; real clock only
 * @param randomFaults faults that are drawn from the seed in addition
 * @param settingOverrides dispatcher settings by path, which precede those derived from the rest
 * @param changedSettings settings of processes that start with {@link FaultMode#CHANGED_SETTINGS}
 */
public record Scenario(
        String name,
        String title,
        double durationSeconds,
        double cycleSeconds,
        List<String> clocks,
        int dispatcherCount,
        List<String> zones,
        boolean peersEnabled,
        Limits limits,
        List<WorkerGroup> groups,
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        List<LoadPoint> load,
        Clients clients,
        Network network,
        PlatformTerms terms,
        List<Fault> faults,
        RandomFaults randomFaults,
        List<Expectation> expectations,
        Map<String, String> settingOverrides,
        Map<String, String> changedSettings) {
    /** Less work than this would be lost among the steps of the simulated network. */
    public static final double MIN_WORK_SECONDS = 1e-6;

    /**
     * A group of identical workers.
     *
     * @param queueCapacity the attempts that may wait at a worker before it rejects more
     * @param memoryCapacity in the unit of the request classes' memory; infinite for no limit
     * @param slowStartFraction the fraction of its capacity that a worker has at its start
     * @param overloadMultiple a worker in slow start collapses when this multiple of its capacity
     *     arrives within the overload window
     * @param overloadMeanWorkSeconds the mean work of the requests for whose random arrival the
     *     limit is raised, from N to N + 2 sqrt(N) + 2 of them; 0 for none
     */
    public record WorkerGroup(
            String name,
            String model,
            int count,
            int slots,
            double speed,
            String zone,
            int queueCapacity,
            double memoryCapacity,
            double slowStartFraction,
            double slowStartDurationSeconds,
            double overloadMultiple,
            double overloadWindowSeconds,
            double overloadMeanWorkSeconds) {}

    /**
     * A request class.
     *
     * @param share of the requests, in proportion to the other classes' shares
     * @param workSpread standard deviation of the work's logarithm; 0 for constant work
     * @param estimateError standard deviation of the cost estimate's logarithm; negative for
     *     requests without an estimate
     * @param deadlineSeconds how long a client waits for the response
     */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            double share,
            double meanWorkSeconds,
            double workSpread,
            double estimateError,
            double latencyObjectiveSeconds,
            double objectivePerWork,
            double deadlineSeconds,
            double priorityWeight,
            double lateValue,
            double idempotencyWindowSeconds,
            int slots,
            double memory) {}

    /** A tenant; its quota is in requests per second, 0 for none. */
    public record Tenant(String name, double share, double quota) {
        public static final Tenant NONE = new Tenant("", 1, 0);
    }

    /** A point of the load, which is linear in between. */
    public record LoadPoint(double atSeconds, double requestsPerSecond) {}

    /**
     * The behavior of clients.
     *
     * @param maxRetries attempts of a request after the first
     * @param retryDelaySeconds delay before a retry; up to twice that at random, more where the
     *     response advises it
     * @param minTimeoutSeconds a request is not retried with less time than this left
     * @param cancelFraction the fraction of requests that the client cancels before their deadline
     * @param newConnectionFraction the fraction of attempts sent on a new connection; real clock
     *     only
     * @param writePauseSeconds such an attempt is written in two parts with at most this pause
     */
    public record Clients(
            int maxRetries,
            double retryDelaySeconds,
            double minTimeoutSeconds,
            double cancelFraction,
            double newConnectionFraction,
            double writePauseSeconds) {}

    /** The limits of a dispatcher's process. */
    public record Limits(int memoryMb, int sockets) {}

    /** The delay of a message in one direction, random from delay to delay + jitter. */
    public record Network(double delaySeconds, double jitterSeconds) {}

    /**
     * What the platform reports and allows.
     *
     * @param endpointListLagSeconds from a change at a worker to its entry in the endpoint list
     * @param loadReportLagSeconds the age of a load report when it is sent; negative for no reports
     * @param drainGraceSeconds how long attempts may still arrive at a worker after the dispatcher
     *     is notified that it is draining or removed
     */
    public record PlatformTerms(
            boolean reportsStart,
            double progressIntervalSeconds,
            boolean mayCancel,
            boolean mayHedge,
            int maxAttempts,
            boolean sendsRetryAfter,
            double maxRetryAfterSeconds,
            double endpointListLagSeconds,
            double loadReportLagSeconds,
            double drainGraceSeconds,
            double connectTimeoutSeconds,
            double crossZonePrice,
            double overQuotaValue) {}

    /**
     * A fault.
     *
     * @param startSeconds from the start of each cycle
     * @param group the worker group whose members it may affect; empty for all
     * @param targetFraction the fraction of possible targets that it affects, drawn at random
     * @param pick selects the draw of the targets: faults with the same pick affect the same ones
     *     first, so the targets of one can contain those of another
     * @param startSpreadSeconds each target is affected at a random time, later by at most this
     * @param linkKind which links of the targets it affects
     * @param workerZone the zone of the workers that it may affect; empty for all
     * @param dispatcherZone the zone of the dispatchers that it may affect; empty for all
     * @param delaySpreadSeconds random addition to the delay of a link, at most this
     * @param peerFraction the fraction of the other dispatchers, in order of number, whose links to
     *     a target it affects
     */
    public record Fault(
            FaultKind kind,
            double startSeconds,
            double durationSeconds,
            String group,
            double targetFraction,
            double level,
            int pick,
            double startSpreadSeconds,
            LinkKind linkKind,
            String workerZone,
            String dispatcherZone,
            double delaySpreadSeconds,
            FaultMode mode,
            double peerFraction) {
        /** Whether workers of this group may be affected. */
        public boolean affects(WorkerGroup workers) {
            return (group.isEmpty() || group.equals(workers.name()))
                    && (workerZone.isEmpty() || workerZone.equals(workers.zone()));
        }

        /** Returns the links affected; those to discovery also have a fault kind of their own. */
        public LinkKind affectedLinks() {
            return kind == FaultKind.DISCOVERY_LINK_CUT ? LinkKind.DISCOVERY : linkKind;
        }

        /** Returns when the last target recovers, in seconds from the start of the cycle. */
        public double endSeconds() {
            return startSeconds + startSpreadSeconds + durationSeconds;
        }
    }

    /** Faults to draw at random: how many in each cycle, 0 for none, how long, of which kinds. */
    public record RandomFaults(
            int countPerCycle, double maxDurationSeconds, List<FaultKind> kinds) {
        public static final RandomFaults NONE = new RandomFaults(0, 1, List.of());
    }

    /** Bounds that a figure of the report must keep. */
    public record Expectation(String figure, double min, double max) {}

    /** Returns the zone of a dispatcher. */
    public String zoneOf(int dispatcher) {
        return zones.isEmpty() ? groups.get(0).zone() : zones.get(dispatcher % zones.size());
    }

    /** Returns the same scenario with exactly these faults. */
    public Scenario withFaults(List<Fault> newFaults) {
        return new Scenario(
                name,
                title,
                durationSeconds,
                cycleSeconds,
                clocks,
                dispatcherCount,
                zones,
                peersEnabled,
                limits,
                groups,
                requestClasses,
                tenants,
                load,
                clients,
                network,
                terms,
                List.copyOf(newFaults),
                RandomFaults.NONE,
                expectations,
                settingOverrides,
                changedSettings);
    }

    /** Returns the number of workers of all groups. */
    public int workerCount() {
        return groups.stream().mapToInt(WorkerGroup::count).sum();
    }
}
