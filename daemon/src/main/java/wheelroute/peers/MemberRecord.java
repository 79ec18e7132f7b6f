package wheelroute.peers;

/** The latest update of one other member. Mutable, compared by identity, not thread-safe. */
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

    /** Returns when the member's state last changed, in seconds. */
    double stateSince() {
        return stateSince;
    }

    /** Replaces the update, and records the time if it changes the member's state. */
    void replace(MemberUpdate newUpdate, boolean isNewState, double now) {
        update = newUpdate;
        if (isNewState) {
            stateSince = now;
        }
    }
}
