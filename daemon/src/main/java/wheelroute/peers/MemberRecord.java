package wheelroute.peers;

/** What is known of one other member. Mutable; compared by identity. */
final class MemberRecord {
    private MemberUpdate update;
    private double stateSince;

    MemberRecord(MemberUpdate update) {
        this.update = update;
    }

    /** The latest update that was accepted. */
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

    /** When the member's state last changed. */
    double stateSince() {
        return stateSince;
    }

    /** Replaces the update; the state's age restarts if the state is another one. */
    void replace(MemberUpdate newUpdate, boolean isNewState, double now) {
        update = newUpdate;
        if (isNewState) {
            stateSince = now;
        }
    }
}
