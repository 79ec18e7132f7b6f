package wheelroute.peers;

/**
 * Applies membership updates, both received ones and those from this member's own probes, by SWIM's
 * rules: a higher incarnation supersedes a lower one, and within an incarnation suspect supersedes
 * alive and dead supersedes both. Accepted updates are disseminated, and a suspicion of this member
 * itself is refuted. Every change of a member's state is made by this class.
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

    /** Whether an accepted update is forwarded to other members. */
    enum Dissemination {
        GOSSIP,
        /**
         * For the entries of a list page: others request pages themselves, and so many updates
         * would delay the rest of the gossip.
         */
        NONE
    }

    /** Marks a member as suspect after a probe without a response. */
    void suspect(MemberRecord member, double now) {
        if (member.isAlive()) {
            applyOwnFinding(member, MemberUpdate.State.SUSPECT, now);
        }
    }

    /** Marks the suspects as dead whose time to refute is over. */
    void declareExpiredSuspectsDead(double now) {
        for (MemberRecord suspect : suspicions.suspects()) {
            // Checked one by one, because each death shortens the timeout of the others.
            if (suspicions.isExpired(suspect, now)) {
                applyOwnFinding(suspect, MemberUpdate.State.DEAD, now);
            }
        }
    }

    private void applyOwnFinding(MemberRecord member, MemberUpdate.State state, double now) {
        PeerId self = table.self().id();
        apply(member.update().withState(state, self), self, Dissemination.GOSSIP, now);
    }

    /**
     * Applies an update if it supersedes the known one or confirms a suspicion.
     *
     * @param reportedBy the member that sent it, which may be this one
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
                afterChange(added, null, reportedBy, dissemination, now);
            }
        } else if (update.supersedes(member.update())) {
            MemberUpdate.State previous = member.state();
            table.replace(member, update, now);
            afterChange(member, previous, reportedBy, dissemination, now);
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
     * Raises this member's incarnation if the update would supersede its own state: it is
     * suspected, or an earlier process of the same name ran with a clock that was ahead.
     */
    private void refuteIfNeeded(MemberUpdate update) {
        MemberUpdate self = table.self();
        boolean isSuspected =
                update.state() != MemberUpdate.State.ALIVE
                        && update.incarnation() >= self.incarnation();
        boolean isAhead = update.incarnation() > self.incarnation();
        if (!isSuspected && !isAhead) {
            return;
        }
        table.raiseIncarnation(update.incarnation() + 1);
        if (isSuspected) {
            localHealth.degrade(1);
        }
        gossip.enqueue(table.self());
    }

    private void afterChange(
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
