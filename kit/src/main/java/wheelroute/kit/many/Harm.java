package wheelroute.kit.many;

/** What can be done to a way. Each heals on its own; what was held back then goes on in its order. */
public enum Harm {
    /** Nothing passes, and nobody is told: bytes wait, as they would for a network that resends them. */
    CUT,
    /** What is open is reset, and what comes is refused. */
    REFUSE,
    /** The dispatcher's bytes arrive, the answers do not. */
    ONE_WAY,
    /** Everything comes later, in both directions, by the level in seconds. */
    SLOW
}
