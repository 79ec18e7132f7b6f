package wheelroute.kit.scenario;

import java.util.List;

/**
 * The kinds of faults that a scenario injects. Reordering the constants changes which random faults
 * a seed yields.
 */
public enum FaultKind implements KeyedConstant {
    /** Attempts fail as soon as they arrive; the level is the fraction that fails. */
    ERROR_BURST("burst", 1, 0, 1),
    /** Workers make no progress until the fault ends. */
    STALL("stall"),
    /** Workers run at their configured speed multiplied by the level. */
    SLOWDOWN("slow", 0.3, 0.001, 1),
    /** Workers execute attempts, but send nothing. */
    UNRESPONSIVE("silence"),
    /** No message reaches or leaves the workers, which continue the attempts that they have. */
    PARTITION("vanish"),
    /** Worker processes crash, and restart with slow start when the fault ends. */
    CRASH("crash"),
    /**
     * Workers drain, exit once they have no attempts left, and restart with slow start when the
     * fault ends.
     */
    DRAIN("drain"),
    /** All targets drain and restart in batches; the level is the batch size in workers. */
    ROLLING_DEPLOY("deploy", 1, 1, 1000),
    /** The age of load reports is increased by the level, in seconds. */
    LOAD_REPORT_DELAY("late-reports", 1, 0, 60),
    /** Calls to discovery fail. */
    DISCOVERY_DOWN("list-down"),
    /** The lag of the endpoint list is increased by the level, in seconds. */
    DISCOVERY_DELAY("list-late", 1, 0, 60),
    /** Dispatchers are killed, and restart when the fault ends. */
    DISPATCHER_KILL("dispatcher-kill"),
    /** Dispatchers shut down gracefully, and restart when the fault ends. */
    DISPATCHER_RESTART("dispatcher-restart"),
    /** Dispatcher processes are paused, as by SIGSTOP, and resumed when the fault ends. */
    DISPATCHER_PAUSE("dispatcher-pause"),
    /** Messages between dispatchers and the workers are held back in both directions. */
    LINK_CUT("link-cut"),
    /** Connections are reset and new ones are refused. */
    LINK_REFUSE("link-refuse"),
    /** Messages to the workers arrive, but messages from the workers are held back. */
    LINK_INBOUND_CUT("link-one-way"),
    /** Messages are delayed in each direction by the level, in seconds. */
    LINK_DELAY("link-slow", 0.1, 0, 60),
    /** Messages between dispatchers and discovery are held back. */
    DISCOVERY_LINK_CUT("list-cut"),
    /** Messages from the workers arrive, but messages to the workers are held back. */
    LINK_OUTBOUND_CUT("link-unheard"),
    /**
     * The level is the fraction of messages that arrive only when retransmitted, and of datagrams
     * that are lost.
     */
    LINK_LOSS("link-loss", 0.2, 0, 1),
    /** The level is the bandwidth of each direction in bytes per second. */
    LINK_BANDWIDTH("link-trickle", 2000, 100, 1e9),
    /** The level is the fraction of datagrams between peers that arrive twice. */
    LINK_DUPLICATION("link-double", 0.2, 0, 1),
    /** Dispatcher processes are limited to the level's fraction of a CPU core. */
    DISPATCHER_CPU_LIMIT("dispatcher-starve", 0.3, 0.05, 1),
    /**
     * Each dispatcher process is replaced by a successor, which must be ready when the fault ends.
     */
    DISPATCHER_REPLACE("dispatcher-replace"),
    /**
     * Connections are opened that never complete a request; the level is the number of connections
     * opened per second.
     */
    IDLE_CONNECTION_FLOOD("crowd", 100, 1, 10_000);

    private final String key;
    private final double defaultLevel;
    private final double minLevel;
    private final double maxLevel;

    /** Creates a kind that ignores the level of a fault. */
    FaultKind(String key) {
        this(key, 1, 0, 1000);
    }

    FaultKind(String key, double defaultLevel, double minLevel, double maxLevel) {
        this.key = key;
        this.defaultLevel = defaultLevel;
        this.minLevel = minLevel;
        this.maxLevel = maxLevel;
    }

    @Override
    public String key() {
        return key;
    }

    double defaultLevel() {
        return defaultLevel;
    }

    double minLevel() {
        return minLevel;
    }

    double maxLevel() {
        return maxLevel;
    }

    /** Whether faults of this kind target dispatchers or links of dispatchers. */
    public boolean affectsDispatchers() {
        return switch (this) {
            case DISPATCHER_KILL,
                    DISPATCHER_RESTART,
                    DISPATCHER_PAUSE,
                    DISPATCHER_CPU_LIMIT,
                    DISPATCHER_REPLACE,
                    IDLE_CONNECTION_FLOOD ->
                    true;
            default -> affectsLinks();
        };
    }

    /** Whether faults of this kind affect links between processes. */
    public boolean affectsLinks() {
        return switch (this) {
            case LINK_CUT,
                    LINK_REFUSE,
                    LINK_INBOUND_CUT,
                    LINK_OUTBOUND_CUT,
                    LINK_DELAY,
                    LINK_LOSS,
                    LINK_BANDWIDTH,
                    LINK_DUPLICATION,
                    DISCOVERY_LINK_CUT ->
                    true;
            default -> false;
        };
    }

    /**
     * Whether faults of this kind can be injected only into real processes, because the simulation
     * models neither bytes on a connection nor CPU time nor a second process.
     */
    public boolean needsProcesses() {
        return switch (this) {
            case LINK_BANDWIDTH,
                    LINK_DUPLICATION,
                    DISPATCHER_CPU_LIMIT,
                    DISPATCHER_REPLACE,
                    IDLE_CONNECTION_FLOOD ->
                    true;
            default -> false;
        };
    }

    /** Returns the modes that a fault of this kind may have, the default first. */
    public List<FaultMode> allowedModes() {
        return switch (this) {
            case DISPATCHER_KILL, DISPATCHER_RESTART ->
                    List.of(FaultMode.UNCHANGED, FaultMode.CHANGED_SETTINGS, FaultMode.OLDER_BUILD);
            case DISPATCHER_REPLACE -> List.of(FaultMode.values());
            default -> List.of(FaultMode.UNCHANGED);
        };
    }
}
