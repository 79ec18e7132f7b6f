package wheelroute.net.handover;

/**
 * The processes of one dispatcher, each started to replace the one before it, as seen from one of
 * them. A process knows its predecessor and its successor, and each of these reports how many
 * processes there are behind it. No I/O and no clock.
 */
final class ProcessChain {
    /** The position of a peer relative to this process. */
    enum Role {
        PREDECESSOR,
        SUCCESSOR;

        Role other() {
            return this == PREDECESSOR ? SUCCESSOR : PREDECESSOR;
        }
    }

    /** Limits what a faulty report can do: the dispatcher's quotas are divided by the count. */
    private static final int MAX_BEHIND = 7;

    private final boolean[] present = new boolean[Role.values().length];
    private final int[] behind = new int[Role.values().length];
    private boolean successorServing;

    void join(Role role) {
        present[role.ordinal()] = true;
    }

    void leave(Role role) {
        present[role.ordinal()] = false;
        behind[role.ordinal()] = 0;
        successorServing &= role != Role.SUCCESSOR;
    }

    /** Records how many processes a peer reports behind itself, as seen from here. */
    void setBehind(Role role, int count) {
        behind[role.ordinal()] = Math.max(0, Math.min(MAX_BEHIND, count));
    }

    /** Records that the successor, if there is one, accepts clients. */
    void onSuccessorServing() {
        successorServing = present[Role.SUCCESSOR.ordinal()];
    }

    private int countOn(Role role) {
        return present[role.ordinal()] ? 1 + behind[role.ordinal()] : 0;
    }

    /** Whether there is a successor, and none behind it. */
    boolean isSuccessorLast() {
        return countOn(Role.SUCCESSOR) == 1;
    }

    /** Returns the number of processes of this dispatcher, including this one. */
    int processCount() {
        return 1 + countOn(Role.PREDECESSOR) + countOn(Role.SUCCESSOR);
    }

    /** Returns the count to report to the peer in this role: processes behind this one. */
    int countBehindThisFor(Role role) {
        return countOn(role.other());
    }

    /** Whether there is a successor that accepts clients. */
    boolean hasServingSuccessor() {
        return successorServing;
    }
}
