package wheelroute.kit.faults;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wheelroute.kit.scenario.Scenario;

/**
 * Which ways are harmed. Harms of several faults may lie over one another on one way: it is open
 * again when the last of them has healed. Pure: it decides what each way lets through, and tells
 * who carries it out.
 */
public final class ActiveLinkFaults {
    /** Who carries it out. */
    public interface Listener {
        /** A fault on the link began or ended, and the link is in this state now. */
        void onLinkChanged(NetworkLink link, LinkState state);
    }

    /** One harm, of one fault. */
    private record ActiveFault(LinkFault fault, double level, double jitter) {}

    private static LinkState state(List<ActiveFault> all) {
        boolean refuses = all.stream().anyMatch(active -> active.fault == LinkFault.REFUSE);
        boolean open =
                !refuses && all.stream().noneMatch(active -> active.fault == LinkFault.PARTITION);
        double through =
                all.stream()
                        .filter(active -> active.fault == LinkFault.LOSS)
                        .mapToDouble(active -> 1 - active.level)
                        .reduce(1, (a, b) -> a * b);
        return new LinkState(
                refuses,
                open && all.stream().noneMatch(active -> active.fault == LinkFault.UNHEARD),
                open && all.stream().noneMatch(active -> active.fault == LinkFault.ONE_WAY),
                all.stream()
                        .filter(active -> active.fault == LinkFault.SLOW)
                        .mapToDouble(ActiveFault::level)
                        .sum(),
                all.stream()
                        .filter(active -> active.fault == LinkFault.SLOW)
                        .mapToDouble(ActiveFault::jitter)
                        .sum(),
                1 - through,
                all.stream()
                        .filter(active -> active.fault == LinkFault.BANDWIDTH)
                        .mapToDouble(ActiveFault::level)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY),
                all.stream()
                        .filter(active -> active.fault == LinkFault.DUPLICATE)
                        .mapToDouble(ActiveFault::level)
                        .max()
                        .orElse(0));
    }

    private final Listener listener;
    private final Map<NetworkLink, List<ActiveFault>> activeFaults = new HashMap<>();

    /** Makes a set of links without faults. */
    public ActiveLinkFaults(Listener listener) {
        this.listener = listener;
    }

    /** Begins a fault on each of the links, beside those that they have. */
    public void add(LinkFault fault, double level, double jitter, Collection<NetworkLink> links) {
        ActiveFault activeFault = new ActiveFault(fault, level, jitter);
        links.forEach(link -> notifyListener(link, all -> all.add(activeFault)));
    }

    /** Ends a fault that was begun with the same arguments. */
    public void remove(
            LinkFault fault, double level, double jitter, Collection<NetworkLink> links) {
        ActiveFault activeFault = new ActiveFault(fault, level, jitter);
        for (NetworkLink link : links) {
            notifyListener(
                    link,
                    all -> {
                        if (!all.remove(activeFault)) {
                            throw new IllegalStateException(
                                    link + " heals of " + fault + ", which it does not have");
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

    private void notifyListener(NetworkLink link, Consumer<List<ActiveFault>> by) {
        List<ActiveFault> all = activeFaults.computeIfAbsent(link, w -> new ArrayList<>());
        LinkState before = state(all);
        by.accept(all);
        LinkState after = state(all);
        if (!after.equals(before)) {
            listener.onLinkChanged(link, after);
        }
    }

    /** The state that all faults on the link add up to. */
    public LinkState state(NetworkLink link) {
        return state(activeFaults.getOrDefault(link, List.of()));
    }
}
