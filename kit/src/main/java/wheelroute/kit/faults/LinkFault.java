package wheelroute.kit.faults;

import wheelroute.kit.scenario.FaultKind;

/**
 * The kinds of faults of a link. Bytes of a stream that a fault holds back arrive in order after
 * the fault has ended.
 */
public enum LinkFault {
    /** No bytes arrive in either direction; connections stay open. */
    PARTITION,
    /** Open connections are reset, and new ones are refused. */
    REFUSE,
    /** Bytes from the dispatcher arrive, bytes to the dispatcher do not. */
    INBOUND_CUT,
    /** Bytes to the dispatcher arrive, bytes from the dispatcher do not. */
    OUTBOUND_CUT,
    /**
     * All bytes arrive later, by the level in seconds plus a random jitter of up to the fault's
     * delay spread.
     */
    DELAY,
    /** The level is the fraction of messages that are lost; streams retransmit them. */
    LOSS,
    /** The level is the bytes per second that arrive in each direction. */
    BANDWIDTH,
    /** The level is the fraction of datagrams that arrive twice. */
    DUPLICATION;

    /**
     * Returns the link fault that corresponds to a scenario's kind of fault.
     *
     * @throws IllegalArgumentException if the kind does not affect links
     */
    public static LinkFault of(FaultKind kind) {
        return switch (kind) {
            case LINK_REFUSE -> REFUSE;
            case LINK_INBOUND_CUT -> INBOUND_CUT;
            case LINK_OUTBOUND_CUT -> OUTBOUND_CUT;
            case LINK_DELAY -> DELAY;
            case LINK_LOSS -> LOSS;
            case LINK_BANDWIDTH -> BANDWIDTH;
            case LINK_DUPLICATION -> DUPLICATION;
            case LINK_CUT, DISCOVERY_LINK_CUT -> PARTITION;
            default -> throw new IllegalArgumentException("expected a fault of links, got " + kind);
        };
    }
}
