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
        void changed(NetworkLink way, LinkState passage);
    }

    /** One harm, of one fault. */
    private record ActiveFault(LinkFault harm, double level, double spread) {}

    private static LinkState passage(List<ActiveFault> all) {
        boolean refuses = all.stream().anyMatch(l -> l.harm == LinkFault.REFUSE);
        boolean open = !refuses && all.stream().noneMatch(l -> l.harm == LinkFault.CUT);
        double through =
                all.stream()
                        .filter(l -> l.harm == LinkFault.LOSS)
                        .mapToDouble(l -> 1 - l.level)
                        .reduce(1, (a, b) -> a * b);
        return new LinkState(
                refuses,
                open && all.stream().noneMatch(l -> l.harm == LinkFault.UNHEARD),
                open && all.stream().noneMatch(l -> l.harm == LinkFault.ONE_WAY),
                all.stream()
                        .filter(l -> l.harm == LinkFault.SLOW)
                        .mapToDouble(ActiveFault::level)
                        .sum(),
                all.stream()
                        .filter(l -> l.harm == LinkFault.SLOW)
                        .mapToDouble(ActiveFault::spread)
                        .sum(),
                1 - through,
                all.stream()
                        .filter(l -> l.harm == LinkFault.TRICKLE)
                        .mapToDouble(ActiveFault::level)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY),
                all.stream()
                        .filter(l -> l.harm == LinkFault.DOUBLE)
                        .mapToDouble(ActiveFault::level)
                        .max()
                        .orElse(0));
    }

    private final Listener hearer;
    private final Map<NetworkLink, List<ActiveFault>> lying = new HashMap<>();

    public ActiveLinkFaults(Listener hearer) {
        this.hearer = hearer;
    }

    public void begin(LinkFault harm, double level, double spread, Collection<NetworkLink> ways) {
        ActiveFault one = new ActiveFault(harm, level, spread);
        ways.forEach(way -> change(way, all -> all.add(one)));
    }

    public void heal(LinkFault harm, double level, double spread, Collection<NetworkLink> ways) {
        ActiveFault one = new ActiveFault(harm, level, spread);
        for (NetworkLink way : ways) {
            change(
                    way,
                    all -> {
                        if (!all.remove(one)) {
                            throw new IllegalStateException(
                                    way + " heals of " + harm + ", which it does not have");
                        }
                    });
        }
    }

    /** A fault's own harm begins or heals. */
    public void set(Scenario.Fault fault, boolean begins, Collection<NetworkLink> ways) {
        LinkFault harm = LinkFault.of(fault.kind());
        if (begins) {
            begin(harm, fault.level(), fault.spread(), ways);
        } else {
            heal(harm, fault.level(), fault.spread(), ways);
        }
    }

    private void change(NetworkLink way, Consumer<List<ActiveFault>> by) {
        List<ActiveFault> all = lying.computeIfAbsent(way, w -> new ArrayList<>());
        LinkState before = passage(all);
        by.accept(all);
        LinkState after = passage(all);
        if (!after.equals(before)) {
            hearer.changed(way, after);
        }
    }

    public LinkState passage(NetworkLink way) {
        return passage(lying.getOrDefault(way, List.of()));
    }
}
