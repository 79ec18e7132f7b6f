package wheelroute.peers;

/** The latest update of another member. Mutable, compared by identity, not thread-safe. */
final class MemberRecord {
    private MemberUpdate update;
    private double stateSince;

    MemberRecord(MemberUpdate update) {
        this.update = update;
    }

    MemberUpdate update() {
        return update;
    }

    PeerId id() {
        return update.id();
    }

    MemberAddress address() {
        return update.address();
    }

    MemberUpdate.State state() {
        return update.state();
    }

    boolean isAlive() {
        return update.state().isAlive();
    }

    /** Returns the time of the last change of the member's state, in seconds. */
    double stateSince() {
        return stateSince;
    }

    /** Replaces the update, and records the time if the update changes the member's state. */
    void replace(MemberUpdate newUpdate, boolean isNewState, double now) {
        update = newUpdate;
        if (isNewState) {
            stateSince = now;
        }
    }
}
