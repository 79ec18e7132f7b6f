package wheelroute.peers;

/**
 * A claim about the state of one member, which is the unit of gossip. Immutable.
 *
 * @param incarnation version of the member's state, which only the member itself raises, at each
 *     start and to refute a suspicion
 * @param suspectedBy {@link PeerId#shortHash} of the suspecting member, which distinguishes
 *     independent suspicions from repeated ones; meaningless in other states than suspect
 */
public record MemberUpdate(
        PeerId id, MemberAddress address, long incarnation, State state, int suspectedBy) {
    /** State of a member. Within an incarnation, later constants supersede earlier ones. */
    public enum State {
        /** The member responds to probes or is new. */
        ALIVE,
        /** The member did not respond to a probe, and may still refute the suspicion. */
        SUSPECT,
        /** The member did not refute a suspicion in time. */
        DEAD,
        /** The member has announced that it leaves. */
        LEFT;

        /** Returns whether the member counts as alive. A suspect does until declared dead. */
        boolean isAlive() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Returns whether this update overrides another one of the same member, by SWIM's rules. */
    boolean supersedes(MemberUpdate known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.compareTo(known.state) > 0);
    }

    /** Returns an update of the same incarnation with a state that a given member has detected. */
    MemberUpdate withState(State other, PeerId detectedBy) {
        return new MemberUpdate(id, address, incarnation, other, detectedBy.shortHash());
    }
}
