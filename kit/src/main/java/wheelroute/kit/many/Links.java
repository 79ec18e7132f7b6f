package wheelroute.kit.many;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Which ways are harmed. Harms of several faults may lie over one another on one way: it is open again when
 * the last of them has healed. Pure: it decides what each way lets through, and tells who carries it out.
 */
public final class Links {
    /** Who carries it out. */
    public interface Hearer {
        void changed(Way way, Passage passage);
    }

    /** How many of each harm lie on one way, and by how much they slow it. */
    private static final class State {
        final Map<Harm, Integer> harms = new EnumMap<>(Harm.class);
        double delay;

        boolean has(Harm harm) {
            return harms.getOrDefault(harm, 0) > 0;
        }

        Passage passage() {
            boolean open = !has(Harm.CUT) && !has(Harm.REFUSE);
            // Sums of what came and went again leave a rest that is no delay.
            double slow = has(Harm.SLOW) ? delay : 0;
            return new Passage(has(Harm.REFUSE), open, open && !has(Harm.ONE_WAY), slow);
        }
    }

    private final Hearer hearer;
    private final Map<Way, State> states = new HashMap<>();

    public Links(Hearer hearer) {
        this.hearer = hearer;
    }

    public void begin(Harm harm, double level, Collection<Way> ways) {
        change(harm, 1, level, ways);
    }

    public void heal(Harm harm, double level, Collection<Way> ways) {
        change(harm, -1, -level, ways);
    }

    private void change(Harm harm, int by, double level, Collection<Way> ways) {
        for (Way way : ways) {
            State state = states.computeIfAbsent(way, w -> new State());
            if (by < 0 && !state.has(harm)) {
                throw new IllegalStateException(way + " heals of " + harm + ", which it does not have");
            }
            Passage before = state.passage();
            state.harms.merge(harm, by, Integer::sum);
            state.delay += harm == Harm.SLOW ? level : 0;
            Passage after = state.passage();
            if (!after.equals(before)) {
                hearer.changed(way, after);
            }
        }
    }

    public Passage passage(Way way) {
        State state = states.get(way);
        return state == null ? Passage.OPEN : state.passage();
    }
}
