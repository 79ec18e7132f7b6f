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
 * The faults that are active on each link, and the {@link LinkState} that they add up to. A link is
 * open again when its last fault has ended. Does no input or output; not thread-safe.
 */
public final class ActiveLinkFaults {
    /** Applies the states of links. */
    public interface Listener {
        /** A fault on the link began or ended, and the link is in this state now. */
        void onLinkChanged(NetworkLink link, LinkState state);
    }

    /** Thrown if a fault is ended on a link that does not have it. */
    public static final class FaultNotActiveException extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        FaultNotActiveException(NetworkLink link, LinkFault fault) {
            super("fault " + fault + " is not active on " + link);
        }
    }

    private record ActiveFault(LinkFault kind, double level, double jitterSeconds) {}

    private final Listener listener;
    private final Map<NetworkLink, List<ActiveFault>> activeFaults = new HashMap<>();

    /** Creates a set of links without faults. */
    public ActiveLinkFaults(Listener listener) {
        this.listener = listener;
    }

    /** Begins a fault on each of the links, in addition to those that are active. */
    public void add(
            LinkFault fault, double level, double jitterSeconds, Collection<NetworkLink> links) {
        ActiveFault activeFault = new ActiveFault(fault, level, jitterSeconds);
        links.forEach(link -> change(link, faults -> faults.add(activeFault)));
    }

    /**
     * Ends a fault that was begun with the same arguments.
     *
     * @throws FaultNotActiveException if a link does not have it
     */
    public void remove(
            LinkFault fault, double level, double jitterSeconds, Collection<NetworkLink> links) {
        ActiveFault activeFault = new ActiveFault(fault, level, jitterSeconds);
        for (NetworkLink link : links) {
            change(
                    link,
                    faults -> {
                        if (!faults.remove(activeFault)) {
                            throw new FaultNotActiveException(link, fault);
                        }
                    });
        }
    }

    /** Begins or ends what a scenario's fault does to these links. */
    public void set(Scenario.Fault fault, boolean begins, Collection<NetworkLink> links) {
        LinkFault linkFault = LinkFault.of(fault.kind());
        if (begins) {
            add(linkFault, fault.level(), fault.delaySpreadSeconds(), links);
        } else {
            remove(linkFault, fault.level(), fault.delaySpreadSeconds(), links);
        }
    }

    /** Returns the state that all faults on the link add up to. */
    public LinkState state(NetworkLink link) {
        return state(activeFaults.getOrDefault(link, List.of()));
    }

    private void change(NetworkLink link, Consumer<List<ActiveFault>> change) {
        List<ActiveFault> faults = activeFaults.computeIfAbsent(link, l -> new ArrayList<>());
        LinkState before = state(faults);
        change.accept(faults);
        LinkState after = state(faults);
        if (!after.equals(before)) {
            listener.onLinkChanged(link, after);
        }
    }

    private static LinkState state(List<ActiveFault> faults) {
        boolean refuses = isActive(LinkFault.REFUSE, faults);
        boolean isOpen = !refuses && !isActive(LinkFault.PARTITION, faults);
        double arriving =
                levels(LinkFault.LOSS, faults)
                        .map(lost -> 1 - lost)
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
                1 - arriving,
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
