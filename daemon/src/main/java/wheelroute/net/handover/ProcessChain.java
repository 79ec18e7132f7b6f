package wheelroute.net.handover;

/**
 * How many processes of this dispatcher run, as far as this one knows, and whether a successor
 * accepts clients in its place. Each process sees its predecessor and its successor, which report
 * how many there are behind them. No I/O and no clock.
 */
final class ProcessChain {
    /** What a peer is to this process. */
    enum Role {
        PREDECESSOR,
        SUCCESSOR;

        Role other() {
            return this == PREDECESSOR ? SUCCESSOR : PREDECESSOR;
        }
    }

    /** A faulty report must not divide the quotas down to nothing. */
    private static final int MAX_BEHIND = 7;

    private final boolean[] present = new boolean[Role.values().length];
    private final int[] behind = new int[Role.values().length];
    private boolean successorServes;

    void join(Role role) {
        present[role.ordinal()] = true;
    }

    void leave(Role role) {
        present[role.ordinal()] = false;
        behind[role.ordinal()] = 0;
        successorServes &= role != Role.SUCCESSOR;
    }

    /** The peer reports how many processes stand behind it, as seen from here. */
    void setBehind(Role role, int count) {
        behind[role.ordinal()] = Math.max(0, Math.min(MAX_BEHIND, count));
    }

    /** The successor accepts clients. */
    void onSuccessorServes() {
        successorServes = present[Role.SUCCESSOR.ordinal()];
    }

    private int countOn(Role role) {
        return present[role.ordinal()] ? 1 + behind[role.ordinal()] : 0;
    }

    /** Whether there is a successor, and none behind it. */
    boolean isSuccessorLast() {
        return countOn(Role.SUCCESSOR) == 1;
    }

    /** How many processes share what the dispatcher has. */
    int processes() {
        return 1 + countOn(Role.PREDECESSOR) + countOn(Role.SUCCESSOR);
    }

    /** What to report to that peer: how many processes it cannot see behind this one. */
    int countBehindThisFor(Role role) {
        return countOn(role.other());
    }

    boolean hasSuccessor() {
        return successorServes;
    }
}
