package wheelroute.net.handover;

/**
 * The chain of processes of one dispatcher, each started to replace the one before it, from the
 * perspective of one of them. A process is connected to its predecessor and its successor. Each of
 * these peers reports how many processes are behind it, which are those on its far side. Performs
 * no I/O and reads no clock.
 */
final class ProcessChain {
    /** The position of a peer relative to this process. */
    enum Role {
        PREDECESSOR,
        SUCCESSOR;

        /** Returns the role of the peer on the other side of this process. */
        Role other() {
            return this == PREDECESSOR ? SUCCESSOR : PREDECESSOR;
        }
    }

    /**
     * Upper bound of a reported count. The dispatcher's quotas are divided by the number of
     * processes, so this limits the effect of a faulty report.
     */
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

    /**
     * Records the number of processes that a peer has reported behind itself. Counts out of range
     * are clamped.
     */
    void setBehind(Role role, int count) {
        behind[role.ordinal()] = Math.max(0, Math.min(MAX_BEHIND, count));
    }

    /** Records that the successor accepts clients; ignored if there is no successor. */
    void onSuccessorServing() {
        successorServing = present[Role.SUCCESSOR.ordinal()];
    }

    /** Returns the number of processes on the side of the peer in this role, including the peer. */
    private int countOn(Role role) {
        return present[role.ordinal()] ? 1 + behind[role.ordinal()] : 0;
    }

    /** Returns whether the successor exists and is the last process of the chain. */
    boolean isSuccessorLast() {
        return countOn(Role.SUCCESSOR) == 1;
    }

    /** Returns the number of processes of this dispatcher, including this one. */
    int processCount() {
        return 1 + countOn(Role.PREDECESSOR) + countOn(Role.SUCCESSOR);
    }

    /**
     * Returns the number of processes behind this one from the perspective of the peer in this
     * role, which is to be reported to that peer.
     */
    int countToReportTo(Role role) {
        return countOn(role.other());
    }

    /** Returns whether there is a successor that accepts clients. */
    boolean hasServingSuccessor() {
        return successorServing;
    }
}
