package wheelroute.kit.faults;

import wheelroute.kit.scenario.FaultKind;

/**
 * What can be done to a way. Each heals on its own; what was held back then goes on in its order.
 */
public enum LinkFault {
    /**
     * Nothing passes, and nobody is told: bytes wait, as they would for a network that resends
     * them.
     */
    PARTITION,
    /** What is open is reset, and what comes is refused. */
    REFUSE,
    /** The dispatcher's bytes arrive, the answers do not. */
    ONE_WAY,
    /** What the others send arrives, the dispatcher's bytes do not. */
    UNHEARD,
    /**
     * Everything comes later, in both directions, by the level in seconds, and by chance up to the
     * spread.
     */
    SLOW,
    /**
     * Of all pieces the part that the level says is lost: bytes are sent again later, datagrams are
     * not.
     */
    LOSS,
    /** So many bytes a second pass in each direction. */
    BANDWIDTH,
    /** Of all datagrams the part that the level says comes twice. */
    DUPLICATE;

    /** The fault of a link that a scenario's kind of fault stands for. */
    public static LinkFault of(FaultKind kind) {
        return switch (kind) {
            case LINK_REFUSE -> REFUSE;
            case LINK_INBOUND_CUT -> ONE_WAY;
            case LINK_OUTBOUND_CUT -> UNHEARD;
            case LINK_DELAY -> SLOW;
            case LINK_LOSS -> LOSS;
            case LINK_BANDWIDTH -> BANDWIDTH;
            case LINK_DUPLICATION -> DUPLICATE;
            case LINK_CUT, DISCOVERY_LINK_CUT -> PARTITION;
            default -> throw new IllegalArgumentException("no harm to a way: " + kind);
        };
    }
}
