package wheelroute.kit.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.model.Timeline;

/**
 * One way of a dispatcher on the virtual clock: messages wait on it while it is cut, as on the
 * relays of the real one, and what was lost when its sender closed never comes.
 */
final class SimulatedLink {
    /** What is on a way at one time belongs to a connection, which a refusing way breaks. */
    interface Connection {
        /** Reset: both ends find out. */
        void reset();
    }

    /** One message; it is lost if its sender has closed before it could pass. */
    private record Message(Runnable arrival, BooleanSupplier stillWanted) {}

    private final Timeline timeline;
    private final Set<Connection> lines = new HashSet<>();
    private final ArrayDeque<Message> heldForth = new ArrayDeque<>();
    private final ArrayDeque<Message> heldBack = new ArrayDeque<>();
    private LinkState passage = LinkState.OPEN;

    SimulatedLink(Timeline timeline) {
        this.timeline = timeline;
    }

    LinkState passage() {
        return passage;
    }

    void open(Connection line) {
        lines.add(line);
    }

    void closed(Connection line) {
        lines.remove(line);
    }

    void set(LinkState now) {
        passage = now;
        if (now.refuses()) {
            heldForth.clear();
            heldBack.clear();
            List<Connection> broken = new ArrayList<>(lines);
            lines.clear();
            broken.forEach(Connection::reset);
        }
        if (now.forth()) {
            flush(heldForth);
        }
        if (now.back()) {
            flush(heldBack);
        }
    }

    private void flush(ArrayDeque<Message> held) {
        while (!held.isEmpty()) {
            Message first = held.pollFirst();
            if (first.stillWanted().getAsBoolean()) {
                // As an event of its own: whoever heals the way must not be in the middle of
                // another.
                timeline.after(0, first.arrival());
            }
        }
    }

    /** At the far end of the usual delay; what is held goes on in its order when the way heals. */
    void forth(Runnable arrival, BooleanSupplier stillWanted) {
        pass(passage.forth(), heldForth, arrival, stillWanted);
    }

    void back(Runnable arrival, BooleanSupplier stillWanted) {
        pass(passage.back(), heldBack, arrival, stillWanted);
    }

    private static void pass(
            boolean open, ArrayDeque<Message> held, Runnable arrival, BooleanSupplier stillWanted) {
        if (open) {
            arrival.run();
        } else {
            held.addLast(new Message(arrival, stillWanted));
        }
    }
}
