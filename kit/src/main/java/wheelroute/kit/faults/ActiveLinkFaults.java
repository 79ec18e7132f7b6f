package wheelroute.kit.faults;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.DoubleStream;
import wheelroute.kit.scenario.Scenario;

/**
 * Tracks the faults that are active on each link and combines them to a {@link LinkState}. A link
 * is open again when its last fault has ended. Performs no I/O; not thread-safe.
 */
public final class ActiveLinkFaults {
    /** Is notified when the state of a link changes. */
    public interface Listener {
        /** Called after a fault that began or ended has changed the state of the link. */
        void onLinkChanged(NetworkLink link, LinkState state);
    }

    /** Thrown if a fault is ended on a link on which it is not active. */
    public static final class FaultNotActiveException extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        FaultNotActiveException(NetworkLink link, LinkFault fault) {
            super("fault " + fault + " is not active on " + link);
        }
    }

    private record ActiveFault(LinkFault kind, double level, double jitterSeconds) {}

    private final Listener listener;
    private final Map<NetworkLink, List<ActiveFault>> activeFaults = new HashMap<>();

    /** Starts with no active faults: all links are open. */
    public ActiveLinkFaults(Listener listener) {
        this.listener = listener;
    }

    /** Begins a fault on each of the links, in addition to those that are active. */
    public void add(
            LinkFault fault, double level, double jitterSeconds, Collection<NetworkLink> links) {
        ActiveFault activeFault = new ActiveFault(fault, level, jitterSeconds);
        links.forEach(link -> update(link, faults -> faults.add(activeFault)));
    }

    /**
     * Ends a fault that was begun with the same arguments.
     *
     * @throws FaultNotActiveException if the fault is not active on one of the links
     */
    public void remove(
            LinkFault fault, double level, double jitterSeconds, Collection<NetworkLink> links) {
        ActiveFault activeFault = new ActiveFault(fault, level, jitterSeconds);
        for (NetworkLink link : links) {
            update(
                    link,
                    faults -> {
                        if (!faults.remove(activeFault)) {
                            throw new FaultNotActiveException(link, fault);
                        }
                    });
        }
    }

    /** Begins or ends a scenario's fault on each of the links. */
    public void set(Scenario.Fault fault, boolean begins, Collection<NetworkLink> links) {
        LinkFault linkFault = LinkFault.of(fault.kind());
        if (begins) {
            add(linkFault, fault.level(), fault.delaySpreadSeconds(), links);
        } else {
            remove(linkFault, fault.level(), fault.delaySpreadSeconds(), links);
        }
    }

    /** Returns the state that results from all active faults on the link. */
    public LinkState state(NetworkLink link) {
        return state(activeFaults.getOrDefault(link, List.of()));
    }

    private void update(NetworkLink link, Consumer<List<ActiveFault>> modification) {
        List<ActiveFault> faults = activeFaults.computeIfAbsent(link, l -> new ArrayList<>());
        LinkState before = state(faults);
        modification.accept(faults);
        LinkState after = state(faults);
        if (!after.equals(before)) {
            listener.onLinkChanged(link, after);
        }
    }

    private static LinkState state(List<ActiveFault> faults) {
        boolean refuses = isActive(LinkFault.REFUSE, faults);
        boolean isOpen = !refuses && !isActive(LinkFault.PARTITION, faults);
        double deliveredFraction =
                levels(LinkFault.LOSS, faults)
                        .map(lossFraction -> 1 - lossFraction)
                        .reduce(1, (first, second) -> first * second);
        double jitterSeconds =
                faults.stream()
                        .filter(fault -> fault.kind == LinkFault.DELAY)
                        .mapToDouble(ActiveFault::jitterSeconds)
                        .sum();
        return new LinkState(
                refuses,
                isOpen && !isActive(LinkFault.OUTBOUND_CUT, faults),
                isOpen && !isActive(LinkFault.INBOUND_CUT, faults),
                levels(LinkFault.DELAY, faults).sum(),
                jitterSeconds,
                1 - deliveredFraction,
                levels(LinkFault.BANDWIDTH, faults).min().orElse(Double.POSITIVE_INFINITY),
                levels(LinkFault.DUPLICATION, faults).max().orElse(0));
    }

    private static boolean isActive(LinkFault kind, List<ActiveFault> faults) {
        return faults.stream().anyMatch(fault -> fault.kind == kind);
    }

    private static DoubleStream levels(LinkFault kind, List<ActiveFault> faults) {
        return faults.stream().filter(fault -> fault.kind == kind).mapToDouble(ActiveFault::level);
    }
}
