package wheelroute.kit.scenario;

import java.util.List;
import java.util.Map;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * The processes, load and faults of a run, and the expectations that must hold at its end. Work is
 * measured in seconds on a worker of speed 1.
 *
 * @param durationSeconds how long requests arrive, unless the command line overrides it
 * @param cycleSeconds the period after which load and faults repeat
 * @param clocks labels of the clocks on which the scenario can run
 * @param zones zones assigned to the dispatchers in turn; if empty, all dispatchers are in the
 *     first group's zone
 * @param peersEnabled whether the dispatchers are peers of each other; only on the real clock
 * @param randomFaults faults that are drawn from the seed in addition to {@code faults}
 * @param settingOverrides dispatcher settings by path, which take precedence over those derived
 *     from the rest of the scenario
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
        PlatformProperties terms,
        List<Fault> faults,
        RandomFaults randomFaults,
        List<Expectation> expectations,
        Map<String, String> settingOverrides,
        Map<String, String> changedSettings) {
    /** Minimum work of a request; less would be lost in the time steps of the simulated network. */
    public static final double MIN_WORK_SECONDS = 1e-6;

    /**
     * A group of identical workers.
     *
     * @param queueCapacity the number of attempts that may wait at a worker before it rejects more
     * @param memoryCapacity memory of a worker in the unit of the request classes' memory; infinite
     *     for no limit
     * @param slowStartFraction the fraction of its full capacity that a worker has when it starts
     * @param overloadMultiple a worker in slow start collapses when this multiple of its capacity
     *     arrives within the overload window
     * @param overloadMeanWorkSeconds mean work of a request, used to allow for random arrivals: an
     *     overload limit of N such requests is raised to N + 2 sqrt(N) + 2; 0 for no allowance
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
     * @param share the class's share of the requests, relative to the other classes' shares
     * @param workSpread standard deviation of the logarithm of the work; 0 for constant work
     * @param estimateError standard deviation of the logarithm of the ratio of the cost estimate to
     *     the work; negative for requests without an estimate
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

    /**
     * A tenant.
     *
     * @param share the tenant's share of the requests, relative to the other tenants' shares
     * @param quota in requests per second; 0 for no quota
     */
    public record Tenant(String name, double share, double quota) {
        public static final Tenant NONE = new Tenant("", 1, 0);
    }

    /** A point of the load curve, which is linear between its points. */
    public record LoadPoint(double atSeconds, double requestsPerSecond) {}

    /**
     * The behavior of clients.
     *
     * @param maxRetries the maximum number of attempts of a request after the first
     * @param retryDelaySeconds minimum delay before a retry; the actual delay is random up to twice
     *     this value, and longer where the response advises it
     * @param minTimeoutSeconds a request is not retried if less time than this would be left
     * @param cancelFraction the fraction of requests that the client cancels before their deadline
     * @param newConnectionFraction the fraction of attempts sent on a new connection; real clock
     *     only
     * @param writePauseSeconds the longest pause between the two parts in which an attempt on a new
     *     connection is written
     */
    public record Clients(
            int maxRetries,
            double retryDelaySeconds,
            double minTimeoutSeconds,
            double cancelFraction,
            double newConnectionFraction,
            double writePauseSeconds) {}

    /** Resource limits of a dispatcher's process. */
    public record Limits(int memoryMb, int sockets) {}

    /** The delay of a message in one direction, random from the delay to the delay plus jitter. */
    public record Network(double delaySeconds, double jitterSeconds) {}

    /**
     * The information that the platform reports, and the operations that it permits.
     *
     * @param endpointListLagSeconds time from a change at a worker to the change of the endpoint
     *     list
     * @param loadReportLagSeconds the age of a load report when it is sent; negative for no reports
     * @param drainGraceSeconds how long attempts may still arrive at a worker after the dispatcher
     *     is notified that the worker is draining or removed
     */
    public record PlatformProperties(
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
     * @param startSeconds time from the start of each cycle
     * @param group the worker group whose members may be affected; empty for all groups
     * @param targetFraction the fraction of possible targets that are affected, drawn at random
     * @param pick selects the draw of the targets; faults with the same pick affect the same
     *     targets first, so that the targets of one fault can contain those of another
     * @param startSpreadSeconds the longest random delay of the start at a target
     * @param linkKind which links of the targets are affected
     * @param workerZone the zone of the workers that may be affected; empty for all zones
     * @param dispatcherZone the zone of the dispatchers that may be affected; empty for all zones
     * @param delaySpreadSeconds the largest random addition to the delay of a link
     * @param peerFraction the fraction of the other dispatchers, in order of number, whose links to
     *     a target are affected
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
        /** Whether the fault may affect workers of this group. */
        public boolean affects(WorkerGroup workers) {
            return (group.isEmpty() || group.equals(workers.name()))
                    && (workerZone.isEmpty() || workerZone.equals(workers.zone()));
        }

        /**
         * Returns which links of the targets are affected. {@link FaultKind#DISCOVERY_LINK_CUT}
         * affects the links to discovery, whatever {@link #linkKind} is.
         */
        public LinkKind affectedLinks() {
            return kind == FaultKind.DISCOVERY_LINK_CUT ? LinkKind.DISCOVERY : linkKind;
        }

        /** Returns when the last target recovers, in seconds from the start of the cycle. */
        public double endSeconds() {
            return startSeconds + startSpreadSeconds + durationSeconds;
        }
    }

    /**
     * Parameters of the faults that are drawn at random.
     *
     * @param countPerCycle the number of faults in each cycle; 0 for none
     * @param kinds the kinds that may be drawn
     */
    public record RandomFaults(
            int countPerCycle, double maxDurationSeconds, List<FaultKind> kinds) {
        public static final RandomFaults NONE = new RandomFaults(0, 1, List.of());
    }

    /** Bounds of a metric of the report; a bound is infinite where there is none. */
    public record Expectation(String metric, double min, double max) {}

    /** Returns the zone of a dispatcher, by its number from 0. */
    public String zoneOf(int dispatcher) {
        return zones.isEmpty() ? groups.get(0).zone() : zones.get(dispatcher % zones.size());
    }

    /** Returns a copy of the scenario with exactly these faults and no random faults. */
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

    /** Returns the total number of workers in all groups. */
    public int workerCount() {
        return groups.stream().mapToInt(WorkerGroup::count).sum();
    }
}
