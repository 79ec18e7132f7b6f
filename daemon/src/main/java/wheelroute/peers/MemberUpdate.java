package wheelroute.peers;

/**
 * A statement on the state of one member, as it is gossiped.
 *
 * @param incarnation raised by the member alone: at each start, and to refute a suspicion
 * @param suspectedBy {@link PeerId#shortHash} of the member that suspects it, by which independent
 *     suspicions are told from repeated ones; of no meaning in other states
 */
public record MemberUpdate(
        PeerId id, MemberAddress address, long incarnation, State state, int suspectedBy) {
    /** State of a member. Within one incarnation a later constant supersedes an earlier one. */
    public enum State {
        /** Responds, or is new. */
        ALIVE,
        /** Did not respond to a probe, and may still refute. */
        SUSPECT,
        /** Did not refute in time. */
        DEAD,
        /** Has announced that it leaves. */
        LEFT;

        /** Whether the member takes part: a suspect counts as alive until it is declared dead. */
        boolean isAlive() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** SWIM's precedence: whether this update replaces the other one of the same member. */
    boolean supersedes(MemberUpdate known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.compareTo(known.state) > 0);
    }

    /** The same incarnation in another state, as found by the given member. */
    MemberUpdate withState(State other, PeerId foundBy) {
        return new MemberUpdate(id, address, incarnation, other, foundBy.shortHash());
    }
}
