package wheelroute.peers;

/**
 * What is said of a dispatcher.
 *
 * @param life raised by itself alone: at each start, and to contradict what is said of it
 * @param by the mark of who says so first, where it is suspected: independent words weigh more than
 *     repeats
 */
public record Sighting(PeerId id, Place place, long life, State state, int by) {
    /** How a dispatcher is; later ones go before earlier ones of the same life. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        /** It said so itself. */
        LEFT;

        boolean isThere() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Whether this is news to who knows the other. */
    boolean outweighs(Sighting known) {
        return life > known.life || (life == known.life && state.compareTo(known.state) > 0);
    }

    Sighting with(State other, PeerId who) {
        return new Sighting(id, place, life, other, who.mark());
    }
}
