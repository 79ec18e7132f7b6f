package wheelroute.net.handover;

/**
 * How many processes of this dispatcher run, as far as this one knows, and whether another one has
 * taken its place. No I/O and no clock: it is told of neighbours that come, speak and go.
 */
final class ProcessChain {
    /** The process whose place this one takes, and the one that takes this one's. */
    enum Role {
        PREDECESSOR,
        SUCCESSOR;

        Role other() {
            return this == PREDECESSOR ? SUCCESSOR : PREDECESSOR;
        }
    }

    /** Guards against a neighbour's nonsense: shares must not become nothing. */
    private static final int MOST_BEYOND = 7;

    private final boolean[] here = new boolean[Role.values().length];
    private final int[] beyond = new int[Role.values().length];
    private boolean succeeded;

    void came(Role side) {
        here[side.ordinal()] = true;
    }

    /** So many more stand on that neighbour's far side. */
    void beyond(Role side, int more) {
        beyond[side.ordinal()] = Math.max(0, Math.min(MOST_BEYOND, more));
    }

    /** The one after this takes clients. */
    void serves() {
        succeeded = here[Role.SUCCESSOR.ordinal()];
    }

    void left(Role side) {
        here[side.ordinal()] = false;
        beyond[side.ordinal()] = 0;
        succeeded &= side != Role.SUCCESSOR;
    }

    private int on(Role side) {
        return here[side.ordinal()] ? 1 + beyond[side.ordinal()] : 0;
    }

    /** Whether the neighbour after this one is the last of all. */
    boolean endsAfterNext() {
        return on(Role.SUCCESSOR) == 1;
    }

    /** What is one dispatcher's is divided by this. */
    int processes() {
        return 1 + on(Role.PREDECESSOR) + on(Role.SUCCESSOR);
    }

    /** What that neighbour is to be told: how many it cannot see for this process. */
    int behind(Role side) {
        return on(side.other());
    }

    boolean hasSuccessor() {
        return succeeded;
    }
}
