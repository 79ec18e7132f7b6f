package wheelroute.kit.scenario;

import java.util.List;

/** What can fail. The order of the constants is part of what a seed draws. */
public enum FaultKind implements KeyedConstant {
    /** Attempts fail as soon as they arrive; the level is their fraction. */
    ERROR_BURST("burst", 1, 0, 1),
    /** Workers make no progress until the fault ends. */
    STALL("stall"),
    /** Workers run at their speed times the level. */
    SLOWDOWN("slow", 0.3, 0.001, 1),
    /** Workers run attempts, but send nothing. */
    UNRESPONSIVE("silence"),
    /** Nothing reaches the workers or comes from them; they run what they have. */
    PARTITION("vanish"),
    /** Workers' processes crash, and restart with slow start at the end. */
    CRASH("crash"),
    /** Workers drain, end once they are empty, and restart with slow start at the end. */
    DRAIN("drain"),
    /** All targets drain and restart in batches; the level is the number of workers in a batch. */
    ROLLING_DEPLOY("deploy", 1, 1, 1000),
    /** Load reports are older by the level, in seconds. */
    LOAD_REPORT_DELAY("late-reports", 1, 0, 60),
    /** Calls to discovery fail. */
    DISCOVERY_DOWN("list-down"),
    /** Changes of the endpoint list are later by the level, in seconds. */
    DISCOVERY_DELAY("list-late", 1, 0, 60),
    /** Dispatchers are killed, and restart at the end. */
    DISPATCHER_KILL("dispatcher-kill"),
    /** Dispatchers shut down gracefully, and restart at the end. */
    DISPATCHER_RESTART("dispatcher-restart"),
    /** Dispatchers' processes are paused, as by SIGSTOP, and resumed at the end. */
    DISPATCHER_PAUSE("dispatcher-pause"),
    /** Messages between dispatchers and the workers are held back in both directions. */
    LINK_CUT("link-cut"),
    /** Connections are reset and new ones are refused. */
    LINK_REFUSE("link-refuse"),
    /** Messages to the workers arrive, those from them are held back. */
    LINK_INBOUND_CUT("link-one-way"),
    /** Messages are later by the level in each direction, in seconds. */
    LINK_DELAY("link-slow", 0.1, 0, 60),
    /** Messages between dispatchers and discovery are held back. */
    DISCOVERY_LINK_CUT("list-cut"),
    /** Messages from the workers arrive, those to them are held back. */
    LINK_OUTBOUND_CUT("link-unheard"),
    /** The level's fraction of messages arrives only when retransmitted; datagrams are lost. */
    LINK_LOSS("link-loss", 0.2, 0, 1),
    /** The level is the bandwidth of each direction in bytes per second. */
    LINK_BANDWIDTH("link-trickle", 2000, 100, 1e9),
    /** The level's fraction of datagrams between peers arrives twice. */
    LINK_DUPLICATION("link-double", 0.2, 0, 1),
    /** Dispatchers' processes get the level's fraction of a core. */
    DISPATCHER_CPU_LIMIT("dispatcher-starve", 0.3, 0.05, 1),
    /** Dispatchers' processes are replaced by a successor, which must be ready by the end. */
    DISPATCHER_REPLACE("dispatcher-replace"),
    /** Connections that never complete a request; the level is their rate per second. */
    IDLE_CONNECTION_FLOOD("crowd", 100, 1, 10_000);

    private final String key;
    private final double defaultLevel;
    private final double minLevel;
    private final double maxLevel;

    /** Creates a kind whose level has no meaning. */
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

    /** Whether the targets are dispatchers, or links of dispatchers. */
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

    /** Whether links between processes are affected. */
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

    /** Whether the simulation cannot inject it: it has no bytes, CPU time or second process. */
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

    /** Returns the modes that the kind may have, the default first. */
    public List<FaultMode> allowedModes() {
        return switch (this) {
            case DISPATCHER_KILL, DISPATCHER_RESTART ->
                    List.of(FaultMode.USUAL, FaultMode.CHANGED_SETTINGS, FaultMode.OLDER_BUILD);
            case DISPATCHER_REPLACE -> List.of(FaultMode.values());
            default -> List.of(FaultMode.USUAL);
        };
    }
}
