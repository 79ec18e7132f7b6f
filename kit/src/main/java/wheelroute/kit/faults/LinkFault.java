package wheelroute.kit.faults;

import wheelroute.kit.scenario.FaultKind;

/**
 * The kinds of faults of a link. What a stream's link holds back during a fault arrives in order
 * after it.
 */
public enum LinkFault {
    /** No bytes arrive in either direction; connections stay open. */
    PARTITION,
    /** Open connections are reset, and new ones refused. */
    REFUSE,
    /** Bytes from the dispatcher arrive, those to it do not. */
    INBOUND_CUT,
    /** Bytes to the dispatcher arrive, those from it do not. */
    OUTBOUND_CUT,
    /**
     * All bytes arrive later, by the level in seconds and at random by up to the spread in
     * addition.
     */
    DELAY,
    /** The level is the fraction of messages that are lost; streams retransmit them. */
    LOSS,
    /** The level is the bytes per second that arrive in each direction. */
    BANDWIDTH,
    /** The level is the fraction of datagrams that arrive twice. */
    DUPLICATION;

    /**
     * Returns the fault of a link that a scenario's kind of fault stands for.
     *
     * @throws IllegalArgumentException if it is not a fault of links
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
            default -> throw new IllegalArgumentException("not a fault of links: " + kind);
        };
    }
}
