package wheelroute.kit.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.model.Timeline;

/**
 * One way of a dispatcher on the simulated clock: messages wait on it while it is cut, as on the
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

    /**
     * In the order in which they came, in which they are reset: a seed plays the same each time.
     */
    private final Set<Connection> connections = new LinkedHashSet<>();

    private final ArrayDeque<Message> heldOutbound = new ArrayDeque<>();
    private final ArrayDeque<Message> heldInbound = new ArrayDeque<>();
    private LinkState state = LinkState.OPEN;

    SimulatedLink(Timeline timeline) {
        this.timeline = timeline;
    }

    LinkState state() {
        return state;
    }

    void add(Connection line) {
        connections.add(line);
    }

    void remove(Connection line) {
        connections.remove(line);
    }

    void apply(LinkState now) {
        state = now;
        if (now.refuses()) {
            heldOutbound.clear();
            heldInbound.clear();
            List<Connection> broken = new ArrayList<>(connections);
            connections.clear();
            broken.forEach(Connection::reset);
        }
        if (now.outbound()) {
            flush(heldOutbound);
        }
        if (now.inbound()) {
            flush(heldInbound);
        }
    }

    private void flush(ArrayDeque<Message> held) {
        while (!held.isEmpty()) {
            Message first = held.pollFirst();
            if (first.stillWanted().getAsBoolean()) {
                // As an event of its own: whoever heals the way must not be in the middle of
                // another.
                timeline.schedule(0, first.arrival());
            }
        }
    }

    /** At the far end of the usual delay; what is held goes on in its order when the way heals. */
    void sendOutbound(Runnable arrival, BooleanSupplier stillWanted) {
        deliver(state.outbound(), heldOutbound, arrival, stillWanted);
    }

    void sendInbound(Runnable arrival, BooleanSupplier stillWanted) {
        deliver(state.inbound(), heldInbound, arrival, stillWanted);
    }

    private static void deliver(
            boolean open, ArrayDeque<Message> held, Runnable arrival, BooleanSupplier stillWanted) {
        if (open) {
            arrival.run();
        } else {
            held.addLast(new Message(arrival, stillWanted));
        }
    }
}
