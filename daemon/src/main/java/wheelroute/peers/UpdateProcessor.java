package wheelroute.peers;

/**
 * Applies membership updates, both received ones and those from this member's own probes, by SWIM's
 * rules. A higher incarnation supersedes a lower one. Within an incarnation, suspect supersedes
 * alive, and dead supersedes both. Accepted updates are disseminated, and suspicions of this member
 * itself are refuted. All state changes of other members are made by this class.
 *
 * <p>Times are in seconds. Not thread-safe.
 */
final class UpdateProcessor {
    private final MemberTable table;
    private final SuspicionTimers suspicions;
    private final GossipQueue gossip;
    private final LocalHealth localHealth;
    private final Membership.Transport transport;

    UpdateProcessor(
            MemberTable table,
            SuspicionTimers suspicions,
            GossipQueue gossip,
            LocalHealth localHealth,
            Membership.Transport transport) {
        this.table = table;
        this.suspicions = suspicions;
        this.gossip = gossip;
        this.localHealth = localHealth;
        this.transport = transport;
    }

    /** Determines whether an accepted update is forwarded to other members. */
    enum Dissemination {
        /** The update is queued as gossip. */
        GOSSIP,
        /**
         * The update is not forwarded. This applies to the entries of list pages, which other
         * members request themselves and which would delay other gossip by their number.
         */
        NONE
    }

    /** Marks an alive member as suspect after a probe without a response. */
    void suspect(MemberRecord member, double now) {
        if (member.isAlive()) {
            applyLocalDetection(member, MemberUpdate.State.SUSPECT, now);
        }
    }

    /** Marks those suspects as dead whose time to refute the suspicion is over. */
    void declareExpiredSuspectsDead(double now) {
        for (MemberRecord suspect : suspicions.suspects()) {
            // The deadline is computed per iteration, since each death shortens the others'
            // timeouts.
            if (suspicions.isExpired(suspect, now)) {
                applyLocalDetection(suspect, MemberUpdate.State.DEAD, now);
            }
        }
    }

    private void applyLocalDetection(MemberRecord member, MemberUpdate.State state, double now) {
        PeerId self = table.self().id();
        apply(member.update().withState(state, self), self, Dissemination.GOSSIP, now);
    }

    /**
     * Applies an update that supersedes the known one or confirms a suspicion. Ignores others.
     *
     * @param reportedBy the member that sent the update, which may be this member
     */
    void apply(MemberUpdate update, PeerId reportedBy, Dissemination dissemination, double now) {
        if (table.isSelf(update.id())) {
            refuteIfNeeded(update);
            return;
        }
        MemberRecord member = table.find(update.id());
        if (member == null) {
            if (!table.isFull() && update.state() != MemberUpdate.State.LEFT) {
                MemberRecord added = table.add(update, now);
                onUpdateAccepted(added, null, reportedBy, dissemination, now);
            }
        } else if (update.supersedes(member.update())) {
            MemberUpdate.State previous = member.state();
            table.replace(member, update, now);
            onUpdateAccepted(member, previous, reportedBy, dissemination, now);
        } else if (isSameSuspicion(update, member.update())
                && suspicions.confirm(member.id(), update.suspectedBy())) {
            disseminate(update, dissemination);
        }
    }

    private static boolean isSameSuspicion(MemberUpdate update, MemberUpdate known) {
        return update.state() == MemberUpdate.State.SUSPECT
                && known.state() == MemberUpdate.State.SUSPECT
                && update.incarnation() == known.incarnation();
    }

    /**
     * Raises this member's incarnation if an update would supersede this member's own state. Either
     * this member is suspected, or an earlier process of the same name ran with a clock ahead.
     */
    private void refuteIfNeeded(MemberUpdate update) {
        MemberUpdate self = table.self();
        boolean isSuspected =
                update.state() != MemberUpdate.State.ALIVE
                        && update.incarnation() >= self.incarnation();
        boolean hasHigherIncarnation = update.incarnation() > self.incarnation();
        if (!isSuspected && !hasHigherIncarnation) {
            return;
        }
        table.raiseIncarnation(update.incarnation() + 1);
        if (isSuspected) {
            localHealth.degrade(1);
        }
        gossip.enqueue(table.self());
    }

    private void onUpdateAccepted(
            MemberRecord member,
            MemberUpdate.State previous,
            PeerId reportedBy,
            Dissemination dissemination,
            double now) {
        if (member.state() == MemberUpdate.State.SUSPECT) {
            suspicions.start(member, now);
        } else {
            suspicions.cancel(member.id());
        }
        disseminate(member.update(), dissemination);
        if (previous != member.state()) {
            transport.memberChanged(member.update(), previous, reportedBy);
        }
    }

    private void disseminate(MemberUpdate update, Dissemination dissemination) {
        if (dissemination == Dissemination.GOSSIP) {
            gossip.enqueue(update);
        } else {
            gossip.remove(update.id());
        }
    }
}
