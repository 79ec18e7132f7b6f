package wheelroute.peers;

/**
 * What is said of a dispatcher.
 *
 * @param incarnation raised by itself alone: at each start, and to contradict what is said of it
 * @param suspectedBy the mark of who says so first, where it is suspected: independent words weigh
 *     more than repeats
 */
public record MemberUpdate(
        PeerId id, MemberAddress address, long incarnation, State state, int suspectedBy) {
    /** How a dispatcher is; later ones go before earlier ones of the same life. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        /** It said so itself. */
        LEFT;

        boolean isAlive() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Whether this is news to who knows the other. */
    boolean supersedes(MemberUpdate known) {
        return incarnation > known.incarnation
                || (incarnation == known.incarnation && state.compareTo(known.state) > 0);
    }

    MemberUpdate withState(State other, PeerId who) {
        return new MemberUpdate(id, address, incarnation, other, who.mark());
    }
}
