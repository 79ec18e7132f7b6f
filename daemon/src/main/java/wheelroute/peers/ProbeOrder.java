package wheelroute.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The other members that count as alive, in SWIM's round-robin probe order. The order is shuffled
 * after each pass, so each member is probed at least once in two passes.
 *
 * <p>Not thread-safe.
 */
final class ProbeOrder {
    private final DeterministicRandom random;
    private final List<MemberRecord> members = new ArrayList<>();
    private int position;

    ProbeOrder(DeterministicRandom random) {
        this.random = random;
    }

    /** Returns an unmodifiable view of the members in the order of the current pass. */
    List<MemberRecord> members() {
        return Collections.unmodifiableList(members);
    }

    int size() {
        return members.size();
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    /** Returns the next member to probe. The order must not be empty. */
    MemberRecord next() {
        if (position >= members.size()) {
            List<MemberRecord> order = random.shuffled(members);
            members.clear();
            members.addAll(order);
            position = 0;
        }
        return members.get(position++);
    }

    /** Inserts a member at a random position, so that other members do not all probe it at once. */
    void insert(MemberRecord member) {
        members.add(random.nextIndex(members.size() + 1), member);
    }

    /** Removes a member, which must be present. */
    void remove(MemberRecord member) {
        int index = members.indexOf(member);
        members.remove(index);
        if (index < position) {
            position--;
        }
    }
}
