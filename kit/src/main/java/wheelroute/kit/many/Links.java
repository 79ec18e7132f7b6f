package wheelroute.kit.many;

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
public final class Links {
    /** Who carries it out. */
    public interface Hearer {
        void changed(Way way, Passage passage);
    }

    /** One harm, of one fault. */
    private record Lying(Harm harm, double level, double spread) {}

    private static Passage passage(List<Lying> all) {
        boolean refuses = all.stream().anyMatch(l -> l.harm == Harm.REFUSE);
        boolean open = !refuses && all.stream().noneMatch(l -> l.harm == Harm.CUT);
        double through =
                all.stream()
                        .filter(l -> l.harm == Harm.LOSS)
                        .mapToDouble(l -> 1 - l.level)
                        .reduce(1, (a, b) -> a * b);
        return new Passage(
                refuses,
                open && all.stream().noneMatch(l -> l.harm == Harm.UNHEARD),
                open && all.stream().noneMatch(l -> l.harm == Harm.ONE_WAY),
                all.stream().filter(l -> l.harm == Harm.SLOW).mapToDouble(Lying::level).sum(),
                all.stream().filter(l -> l.harm == Harm.SLOW).mapToDouble(Lying::spread).sum(),
                1 - through,
                all.stream()
                        .filter(l -> l.harm == Harm.TRICKLE)
                        .mapToDouble(Lying::level)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY),
                all.stream()
                        .filter(l -> l.harm == Harm.DOUBLE)
                        .mapToDouble(Lying::level)
                        .max()
                        .orElse(0));
    }

    private final Hearer hearer;
    private final Map<Way, List<Lying>> lying = new HashMap<>();

    public Links(Hearer hearer) {
        this.hearer = hearer;
    }

    public void begin(Harm harm, double level, double spread, Collection<Way> ways) {
        Lying one = new Lying(harm, level, spread);
        ways.forEach(way -> change(way, all -> all.add(one)));
    }

    public void heal(Harm harm, double level, double spread, Collection<Way> ways) {
        Lying one = new Lying(harm, level, spread);
        for (Way way : ways) {
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
    public void set(Scenario.Fault fault, boolean begins, Collection<Way> ways) {
        Harm harm = Harm.of(fault.kind());
        if (begins) {
            begin(harm, fault.level(), fault.spread(), ways);
        } else {
            heal(harm, fault.level(), fault.spread(), ways);
        }
    }

    private void change(Way way, Consumer<List<Lying>> by) {
        List<Lying> all = lying.computeIfAbsent(way, w -> new ArrayList<>());
        Passage before = passage(all);
        by.accept(all);
        Passage after = passage(all);
        if (!after.equals(before)) {
            hearer.changed(way, after);
        }
    }

    public Passage passage(Way way) {
        return passage(lying.getOrDefault(way, List.of()));
    }
}
