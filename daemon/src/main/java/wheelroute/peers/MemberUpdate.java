package wheelroute.peers;

/**
 * A statement about the state of one member, the unit of gossip. Immutable.
 *
 * @param incarnation raised only by the member itself: at each start, and to refute a suspicion
 * @param suspectedBy {@link PeerId#shortHash} of the member that suspects it, which distinguishes
 *     independent suspicions from repeated ones; meaningless in other states
 */
public record MemberUpdate(
        PeerId id, MemberAddress address, long incarnation, State state, int suspectedBy) {
    /** State of a member. Within one incarnation a later constant supersedes an earlier one. */
    public enum State {
        /** The member responds, or is new. */
        ALIVE,
        /** The member did not respond to a probe, and may still refute the suspicion. */
        SUSPECT,
        /** The member did not refute in time. */
        DEAD,
        /** The member has announced that it leaves. */
        LEFT;

        /** Whether the member counts as alive, as a suspect does until it is declared dead. */
        boolean isAlive() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Whether this update replaces another one of the same member, by SWIM's precedence. */
    boolean supersedes(MemberUpdate known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.compareTo(known.state) > 0);
    }

    /** Returns an update of the same incarnation with another state, found by the given member. */
    MemberUpdate withState(State other, PeerId foundBy) {
        return new MemberUpdate(id, address, incarnation, other, foundBy.shortHash());
    }
}
