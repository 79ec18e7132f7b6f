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
 * A link of a simulated dispatcher. While a direction is cut, its messages are held back, as by the
 * relays of runs on the real clock. A held message is dropped if its sender closes the connection
 * meanwhile.
 */
final class SimulatedLink {
    /** A connection over the link. Connections are reset when the link starts to refuse them. */
    interface Connection {
        /** Resets the connection and notifies both of its ends. */
        void reset();
    }

    /** A held message, which is dropped if it is no longer wanted when the link passes it. */
    private record Message(Runnable arrival, BooleanSupplier stillWanted) {}

    private final Timeline timeline;

    /**
     * Open connections in the order of their creation, since runs with the same seed must reset
     * them in the same order.
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

    void add(Connection connection) {
        connections.add(connection);
    }

    void remove(Connection connection) {
        connections.remove(connection);
    }

    void apply(LinkState newState) {
        state = newState;
        if (newState.refuses()) {
            heldOutbound.clear();
            heldInbound.clear();
            List<Connection> connectionsToReset = new ArrayList<>(connections);
            connections.clear();
            connectionsToReset.forEach(Connection::reset);
        }
        if (newState.outbound()) {
            flush(heldOutbound);
        }
        if (newState.inbound()) {
            flush(heldInbound);
        }
    }

    private void flush(ArrayDeque<Message> held) {
        while (!held.isEmpty()) {
            Message first = held.pollFirst();
            if (first.stillWanted().getAsBoolean()) {
                // Each message arrives in a task of its own, since the link may recover during an
                // event.
                timeline.schedule(0, first.arrival());
            }
        }
    }

    /** Delivers a message, or holds it back. Held messages keep their order. */
    void sendOutbound(Runnable arrival, BooleanSupplier stillWanted) {
        deliver(state.outbound(), heldOutbound, arrival, stillWanted);
    }

    void sendInbound(Runnable arrival, BooleanSupplier stillWanted) {
        deliver(state.inbound(), heldInbound, arrival, stillWanted);
    }

    private static void deliver(
            boolean isOpen,
            ArrayDeque<Message> held,
            Runnable arrival,
            BooleanSupplier stillWanted) {
        if (isOpen) {
            arrival.run();
        } else {
            held.addLast(new Message(arrival, stillWanted));
        }
    }
}
