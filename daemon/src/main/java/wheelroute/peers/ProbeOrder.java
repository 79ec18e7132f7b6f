package wheelroute.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The other members that count as alive, in SWIM's round-robin probe order: the order is shuffled
 * anew after each pass, so no member waits for longer than two passes.
 */
final class ProbeOrder {
    private final DeterministicRandom random;
    private final List<MemberRecord> members = new ArrayList<>();
    private int position;

    ProbeOrder(DeterministicRandom random) {
        this.random = random;
    }

    /** The members in the order of this pass, as a view. */
    List<MemberRecord> members() {
        return Collections.unmodifiableList(members);
    }

    int size() {
        return members.size();
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    /** The next member to probe; there must be one. */
    MemberRecord next() {
        if (position >= members.size()) {
            List<MemberRecord> order = random.shuffled(members);
            members.clear();
            members.addAll(order);
            position = 0;
        }
        return members.get(position++);
    }

    /** Inserts a member at a random position, so that not all probe the newest one first. */
    void insert(MemberRecord member) {
        members.add(random.nextIndex(members.size() + 1), member);
    }

    /** Removes a member that is in the order. */
    void remove(MemberRecord member) {
        int index = members.indexOf(member);
        members.remove(index);
        if (index < position) {
            position--;
        }
    }
}
