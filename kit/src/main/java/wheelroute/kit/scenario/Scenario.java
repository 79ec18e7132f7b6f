package wheelroute.kit.scenario;

import java.util.List;
import java.util.Map;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/**
 * What is played, and what must hold. Times in seconds, work in seconds on a worker of speed 1.
 *
 * @param seconds how long asks come, unless the command line says otherwise
 * @param cycle load and faults begin anew after so long
 * @param clocks the names of the clocks that can play it
 * @param zones of the dispatchers, dealt to them in turn; empty: all stand in the first workers'
 *     zone
 * @param peers whether dispatchers know each other; real clock only
 * @param randomFaults faults that chance adds, by the seed alone
 * @param changedSettings settings of processes that are started with another configuration
 */
public record Scenario(
        String name,
        String title,
        double seconds,
        double cycle,
        List<String> clocks,
        int dispatchers,
        List<String> zones,
        boolean peers,
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
        Map<String, String> overrides,
        Map<String, String> changedSettings) {
    /** No job is smaller: the model's own steps would drown it. */
    public static final double MIN_WORK = 1e-6;

    /**
     * Workers that are alike.
     *
     * @param queue how many may wait at one before it turns launches away
     * @param memory in the unit of the offerings' memory; infinite for no limit
     * @param slowStartShare the part of its capacity that a worker just started has
     * @param slowStartDurationSeconds how long it takes to warm up
     * @param overloadMultiple a cold worker falls over when, in tipWindow, so many times its
     *     capacity comes
     * @param overloadMeanWork the mean work of the requests for which chance is allowed for, N
     *     becoming N + 2 root N + 2 of them; 0 where nothing is
     */
    public record WorkerGroup(
            String name,
            String model,
            int count,
            int slots,
            double speed,
            String zone,
            int queue,
            double memory,
            double slowStartShare,
            double slowStartDurationSeconds,
            double overloadMultiple,
            double overloadWindowSeconds,
            double overloadMeanWork) {}

    /**
     * A kind of job.
     *
     * @param share of the asks, beside the other offerings' shares
     * @param spread of the work's logarithm; 0 for work that is always the same
     * @param estimateError of the hint's logarithm; under 0 for no hint
     * @param deadline how long a client waits for the answer
     */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            double share,
            double work,
            double spread,
            double estimateError,
            double latencyObjectiveSeconds,
            double objectivePerWork,
            double deadline,
            double priorityWeight,
            double lateValue,
            double idempotencyWindowSeconds,
            int slots,
            double memory) {}

    /** Quota in asks a second; 0 for none. */
    public record Tenant(String name, double share, double quota) {
        public static final Tenant NONE = new Tenant("", 1, 0);
    }

    /** The rate of asks runs straight from one point to the next. */
    public record LoadPoint(double time, double rate) {}

    /**
     * What clients do.
     *
     * @param retries more submissions of one ask after the first
     * @param retryDelay before a retry; up to twice that by chance, more where the answer says so
     * @param minTimeout nothing is retried with less than this left: no answer is hoped for in so
     *     short a time
     * @param cancelFraction the part of asks whose client hangs up before its time
     * @param newConnectionFraction the part of submissions that come on a connection of their own;
     *     real clock only
     * @param writePause such a one is written in two pieces, so far apart at most
     */
    public record Clients(
            int retries,
            double retryDelay,
            double minTimeout,
            double cancelFraction,
            double newConnectionFraction,
            double writePause) {}

    /** What a dispatcher's process may take. */
    public record Limits(int memoryMb, int sockets) {}

    /** One way; by chance up to delay + jitter. */
    public record Network(double delay, double jitter) {}

    /**
     * What the platform tells and allows.
     *
     * @param listLag from a change at a worker to the list's word of it
     * @param reportLag how old a load report is when it is sent; under 0 for no reports
     * @param grace after which nothing may go to a worker that was told draining or gone
     */
    public record PlatformTerms(
            boolean reportsStart,
            double progressIntervalSeconds,
            boolean mayCancel,
            boolean mayHedge,
            int maxAttempts,
            boolean sendsRetryAfter,
            double maxRetryAfterSeconds,
            double listLag,
            double reportLag,
            double grace,
            double connectTimeoutSeconds,
            double crossZonePrice,
            double overQuotaValue) {}

    /** What can go wrong. */
    public enum Kind {
        /** Jobs end in errors, at once: the part of them is the level. */
        BURST,
        /** Nothing moves; what is there goes on afterwards. */
        STALL,
        /** A neighbour takes its part: speed times the level. */
        SLOW,
        /** Jobs run, but not a word comes back. */
        SILENCE,
        /** The machine is cut off: nothing comes in or out; afterwards it is as it was. */
        VANISH,
        /** The process dies with all it holds, and is back, cold, after the length. */
        CRASH,
        /** It is told draining, ends once empty, is gone, and back, cold, after the length. */
        DRAIN,
        /** All of them drain and return, a few at a time, within the length. */
        DEPLOY,
        /** Load reports are older by the level. */
        LATE_REPORTS,
        /** The list cannot be had. */
        LIST_DOWN,
        /** The list's word comes later by the level. */
        LIST_LATE,
        /** A dispatcher is killed, and back after the length. */
        DISPATCHER_KILL,
        /** A dispatcher is told to end, and back after the length. */
        DISPATCHER_RESTART,
        /**
         * A dispatcher's process stands still, and goes on after the length as if nothing had been.
         */
        DISPATCHER_PAUSE,
        /** Nothing passes between dispatchers and the workers of the group; nobody is told. */
        LINK_CUT,
        /** Connections between them are reset, new ones refused. */
        LINK_REFUSE,
        /** What dispatchers send arrives there, the answers do not come back. */
        LINK_ONE_WAY,
        /** What passes between them comes later by the level, each way. */
        LINK_SLOW,
        /** Nothing passes between dispatchers and the list; nobody is told. */
        LIST_CUT,
        /** What comes back arrives, what dispatchers send does not. */
        LINK_UNHEARD,
        /**
         * Of what passes, the part that the level says comes only when it is sent again; datagrams
         * never.
         */
        LINK_LOSS,
        /** So many bytes a second pass, each way, as the level says. */
        LINK_TRICKLE,
        /** Of what passes between peers, the part that the level says comes twice. */
        LINK_DOUBLE,
        /** A dispatcher's process gets a core for the part of the time that the level says. */
        DISPATCHER_STARVE,
        /** A second process takes a dispatcher's place; it is to be done within the length. */
        DISPATCHER_REPLACE,
        /**
         * Strangers connect to dispatchers as clients do, so many a second, and never finish a
         * message.
         */
        CROWD;

        /** It meets dispatchers, each or with its ways. */
        public boolean affectsDispatchers() {
            return switch (this) {
                case DISPATCHER_KILL,
                        DISPATCHER_RESTART,
                        DISPATCHER_PAUSE,
                        DISPATCHER_STARVE,
                        DISPATCHER_REPLACE,
                        CROWD ->
                        true;
                default -> affectsLinks();
            };
        }

        /** It harms ways between processes. */
        public boolean affectsLinks() {
            return switch (this) {
                case LINK_CUT,
                        LINK_REFUSE,
                        LINK_ONE_WAY,
                        LINK_UNHEARD,
                        LINK_SLOW,
                        LINK_LOSS,
                        LINK_TRICKLE,
                        LINK_DOUBLE,
                        LIST_CUT ->
                        true;
                default -> false;
            };
        }

        /** The model has no bytes, no share of a core, no second process and no strangers. */
        public boolean needsProcesses() {
            return switch (this) {
                case LINK_TRICKLE, LINK_DOUBLE, DISPATCHER_STARVE, DISPATCHER_REPLACE, CROWD ->
                        true;
                default -> false;
            };
        }

        /** In which ways it may be done, the usual one first. */
        public List<How> allowedHows() {
            return switch (this) {
                case DISPATCHER_KILL, DISPATCHER_RESTART ->
                        List.of(How.USUAL, How.CHANGED, How.OLDER);
                case DISPATCHER_REPLACE -> List.of(How.values());
                default -> List.of(How.USUAL);
            };
        }
    }

    /** In which way a fault is done. */
    public enum How {
        USUAL,
        /** What is started has another configuration: see {@link Scenario#changedSettings}. */
        CHANGED,
        /** What is started is another build. */
        OLDER,
        /** The process that is to take another's place is killed before it can. */
        NEW_KILLED,
        /** The process whose place is taken is killed while both run. */
        OLD_KILLED,
        /** Both stand still for a second, side by side. */
        BOTH_STOPPED
    }

    /** Which of a dispatcher's ways a fault is about. */
    public enum LinkKind {
        WORKERS,
        LIST,
        CLIENTS,
        /**
         * The other dispatchers; those that one fault meets together keep their ways to each other.
         */
        PEERS
    }

    /**
     * One fault.
     *
     * @param start from the start of each cycle
     * @param group the name of the workers it meets; empty for all
     * @param share of those that it meets; which, is chance's choice, the same for all faults of
     *     one pick
     * @param pick faults of the same pick meet the same workers first: so they can lie inside each
     *     other
     * @param startSpread each of those it meets is met at a moment of its own, so much later at
     *     most
     * @param linkKind which ways of those dispatchers it meets
     * @param zone only workers of this zone; empty for all
     * @param from only dispatchers of this zone; empty for all
     * @param peerFraction the part of the other dispatchers to which ways to peers are met, by
     *     their numbers
     * @param spread of a way's delay: each piece comes later by chance, so much at most
     */
    public record Fault(
            Kind kind,
            double start,
            double length,
            String group,
            double share,
            double level,
            int pick,
            double startSpread,
            LinkKind linkKind,
            String zone,
            String from,
            double spread,
            How how,
            double peerFraction) {
        /** Workers that it is about, as far as group and zone say. */
        public boolean matches(WorkerGroup workers) {
            return (group.isEmpty() || group.equals(workers.name()))
                    && (zone.isEmpty() || zone.equals(workers.zone()));
        }

        /** The list's ways have a kind of their own, from before there were others. */
        public LinkKind affectedLinks() {
            return kind == Kind.LIST_CUT ? LinkKind.LIST : linkKind;
        }

        /** When the fault is over, in seconds from the start. */
        public double end() {
            return start + startSpread + length;
        }
    }

    /**
     * Faults that chance adds.
     *
     * @param perCycle so many each cycle; 0 for none
     * @param maxLength no fault is longer
     * @param kinds from which they are drawn
     */
    public record RandomFaults(int perCycle, double maxLength, List<Kind> kinds) {
        public static final RandomFaults NONE = new RandomFaults(0, 1, List.of());
    }

    /** What must hold: the figure of that name is at least, or at most, so much. */
    public record Expectation(String figure, double min, double max) {}

    /** The zone that a dispatcher stands in. */
    public String zoneOf(int dispatcher) {
        return zones.isEmpty() ? groups.get(0).zone() : zones.get(dispatcher % zones.size());
    }

    /** The same, with other faults and none drawn. */
    public Scenario with(List<Fault> others) {
        return new Scenario(
                name,
                title,
                seconds,
                cycle,
                clocks,
                dispatchers,
                zones,
                peers,
                limits,
                groups,
                requestClasses,
                tenants,
                load,
                clients,
                network,
                terms,
                List.copyOf(others),
                RandomFaults.NONE,
                expectations,
                overrides,
                changedSettings);
    }

    /** The number of workers over all groups. */
    public int workers() {
        return groups.stream().mapToInt(WorkerGroup::count).sum();
    }
}
