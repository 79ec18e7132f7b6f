package wheelroute.peers;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Three dispatchers and one share that two of them want, with the program's own leases and votes:
 * every order of asking, hearing, passing time, standing still, giving back and starting anew, to a
 * stated depth, datagrams coming late, again or never. At no moment do two use the share; and with
 * any one guard taken out, they do.
 */
public class LeaseModelCheckTest {
    private static final int MEMBERS = 3;
    private static final int HOLDERS = 2;

    /** In steps of the model: long enough beside the passes of time below. */
    private static final double USED = 10;

    /** Clocks in the model run apart by this, so that it shows within one lease. */
    private static final double RATES = 0.1;

    private static final double PROMISED = USED * (1 + RATES) / (1 - RATES);
    private static final double[] PASSES = {1, 9.5, 12.5};
    private static final PeerId[] NAMES = {new PeerId("a"), new PeerId("b"), new PeerId("c")};

    /**
     * The second holder is another process under the first one's name, started while that stood
     * still.
     */
    private static final PeerId[] TWINS = {NAMES[0], NAMES[0], NAMES[2]};

    private enum Guard {
        NONE,
        COUNTS_FROM_ASKING,
        KEEPS_ITS_WORD,
        SILENT_AFTER_START,
        MARGIN_FOR_RATES,
        MOST_OF_THEM,
        LOOKS_AT_USE,
        LIFE,
        LATEST_BACK
    }

    /** A datagram on its way, or come: it may come again at any time. */
    private record Sent(String kind, int from, int to, long life, int number, String text)
            implements Comparable<Sent> {
        Sent(String kind, int from, int to, long life, int number) {
            this(kind, from, to, life, number, kind + from + to + "-" + life + "-" + number);
        }

        @Override
        public int compareTo(Sent other) {
            return text.compareTo(other.text);
        }
    }

    /** All three at one moment, and how it came to that. */
    private static final class State {
        final Guard without;
        final double[] rates;
        final PeerId[] names;
        double time;
        final LeaseVoter[] votes = new LeaseVoter[MEMBERS];
        final Lease[] leases = new Lease[HOLDERS];
        final long[] lives = new long[MEMBERS];
        final int[] numbers = new int[HOLDERS];
        final boolean[] still = new boolean[HOLDERS];

        /** Only without the look at use: it uses the share until something happens to it. */
        final boolean[] believes = new boolean[HOLDERS];

        final Set<Sent> sent = new TreeSet<>();
        final List<String> story = new ArrayList<>();

        State(Guard without, double[] rates, PeerId[] names) {
            this.without = without;
            this.rates = rates;
            this.names = names;
            for (int i = 0; i < MEMBERS; i++) {
                // It has been up for long.
                votes[i] = votes(-100 * USED);
                lives[i] = names == TWINS && i == 1 ? 9 : 1;
            }
            for (int i = 0; i < HOLDERS; i++) {
                leases[i] = lease();
            }
        }

        State(State of) {
            this(of.without, of.rates, of.names);
            time = of.time;
            for (int i = 0; i < MEMBERS; i++) {
                lives[i] = of.lives[i];
                votes[i] = of.votes[i];
            }
            for (int i = 0; i < HOLDERS; i++) {
                of.leases[i].copyTo(leases[i]);
                numbers[i] = of.numbers[i];
                still[i] = of.still[i];
                believes[i] = of.believes[i];
            }
            sent.addAll(of.sent);
            story.addAll(of.story);
        }

        private LeaseVoter votes(double now) {
            double promised = without == Guard.MARGIN_FOR_RATES ? USED : PROMISED;
            double silent = without == Guard.SILENT_AFTER_START ? 0 : promised;
            return new LeaseVoter(now, promised, silent) {
                @Override
                boolean isSame(Promise last, PeerId holder, long life) {
                    return without == Guard.KEEPS_ITS_WORD
                            || (without == Guard.LIFE
                                    ? last.holder().equals(holder)
                                    : super.isSame(last, holder, life));
                }

                @Override
                boolean isLatest(Promise last, int number) {
                    return without == Guard.LATEST_BACK || super.isLatest(last, number);
                }
            };
        }

        private Lease lease() {
            return new Lease(without == Guard.MOST_OF_THEM ? 1 : 2, USED) {
                @Override
                double countsFrom(double now) {
                    return without == Guard.COUNTS_FROM_ASKING ? now : super.countsFrom(now);
                }
            };
        }

        double clock(int member) {
            return time * rates[member];
        }

        boolean uses(int holder) {
            return !still[holder]
                    && (without == Guard.LOOKS_AT_USE
                            ? believes[holder]
                            : leases[holder].isHeld(clock(holder)));
        }

        String key() {
            StringBuilder key = new StringBuilder();
            for (int i = 0; i < MEMBERS; i++) {
                key.append(lives[i]).append(votes[i].key(clock(i))).append(';');
            }
            for (int i = 0; i < HOLDERS; i++) {
                key.append(leases[i].key(clock(i)))
                        .append(still[i])
                        .append(believes[i])
                        .append(';');
            }
            sent.forEach(one -> key.append(one.text).append(','));
            return key.toString();
        }

        /** Votes are copied where they change: most steps leave them as they are. */
        private LeaseVoter own(int member) {
            LeaseVoter copy = votes(-100 * USED);
            votes[member].copyTo(copy);
            votes[member] = copy;
            return copy;
        }

        private void step(List<Step> all, String what, Consumer<State> does) {
            all.add(new Step(what, does));
        }

        /** All that can happen next. */
        List<Step> steps() {
            List<Step> all = new ArrayList<>();
            for (int i = 0; i < HOLDERS; i++) {
                int h = i;
                if (!still[h]) {
                    step(all, "asks " + NAMES[h], s -> s.asks(h));
                    if (leases[h].isHeld(clock(h))) {
                        step(all, "gives back " + NAMES[h], s -> s.givesBack(h));
                    }
                }
                if (uses(h) || still[h]) {
                    step(
                            all,
                            (still[h] ? "goes on " : "stands still ") + NAMES[h],
                            s -> s.still[h] = !s.still[h]);
                }
            }
            for (Sent one : sent) {
                if (one.to >= HOLDERS || !still[one.to]) {
                    step(all, "hears " + one.text, s -> s.hears(one));
                }
            }
            for (double pass : PASSES) {
                step(all, "passes " + pass, s -> s.passes(pass));
            }
            for (int i = 0; i < MEMBERS; i++) {
                int m = i;
                if (lives[m] == 1 && (m >= HOLDERS || !still[m])) {
                    step(all, "starts anew " + NAMES[m], s -> s.startsAnew(m));
                }
            }
            return all;
        }

        private void passes(double pass) {
            time += pass;
            for (int h = 0; h < HOLDERS; h++) {
                // A timer of its own ends its belief, unless it stands still.
                believes[h] &= still[h] || leases[h].isHeld(clock(h));
            }
        }

        /** Its own word it gives itself, without a datagram. */
        private void asks(int h) {
            int number = ++numbers[h];
            leases[h].asks(clock(h), number);
            for (int m = 0; m < MEMBERS; m++) {
                Sent ask = new Sent("ask", h, m, lives[h], number);
                if (m == h) {
                    hears(ask);
                } else {
                    sent.add(ask);
                }
            }
        }

        private void givesBack(int h) {
            leases[h].stops();
            believes[h] = false;
            int number = ++numbers[h];
            for (int m = 0; m < MEMBERS; m++) {
                sent.add(new Sent("back", h, m, lives[h], number));
            }
        }

        private void startsAnew(int m) {
            lives[m]++;
            votes[m] = votes(clock(m));
            if (m < HOLDERS) {
                leases[m] = lease();
                believes[m] = false;
            }
        }

        private void hears(Sent one) {
            switch (one.kind) {
                case "ask" -> {
                    if (own(one.to).ask(clock(one.to), 0, names[one.from], one.life, one.number)) {
                        Sent word = new Sent("word", one.to, one.from, one.life, one.number);
                        if (one.to == one.from) {
                            hears(word);
                        } else {
                            sent.add(word);
                        }
                    }
                }
                case "back" -> own(one.to).back(0, names[one.from], one.life, one.number);
                default -> {
                    if (one.life == lives[one.to]) {
                        leases[one.to].granted(clock(one.to), one.number, names[one.from]);
                        believes[one.to] |= leases[one.to].isHeld(clock(one.to));
                    }
                }
            }
        }
    }

    /** Something that can happen to a state. */
    private record Step(String what, Consumer<State> does) {}

    private int states;

    /** The story of the first state in which two use the share; null if there is none that deep. */
    private List<String> broken(double[] rates, PeerId[] names) {
        Set<String> seen = new HashSet<>();
        ArrayDeque<State> open = new ArrayDeque<>();
        open.add(new State(Guard.NONE, rates, names));
        while (!open.isEmpty()) {
            State state = open.poll();
            if (state.uses(0) && state.uses(1)) {
                return state.story;
            }
            if (state.story.size() < DEPTH) {
                for (Step step : state.steps()) {
                    State next = new State(state);
                    step.does.accept(next);
                    next.story.add(step.what);
                    if (seen.add(next.key())) {
                        open.add(next);
                    }
                }
            }
        }
        states = seen.size();
        return null;
    }

    /** Goes one way at each state, by chance: far deeper, in a part of all ways. */
    private static List<String> brokenAtLast(
            Guard without, double[] rates, PeerId[] names, int walks) {
        for (int seed = 0; seed < walks; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            State state = new State(without, rates, names);
            while (state.story.size() < WALK) {
                List<Step> steps = state.steps();
                // Mostly something is heard, and mostly something new: else long stories never come
                // about.
                List<Step> heard =
                        steps.stream().filter(one -> one.what.startsWith("hears")).toList();
                List<Step> open = heard.isEmpty() || random.nextInt(3) == 0 ? steps : heard;
                Step step = open.get(random.nextInt(open.size()));
                step.does.accept(state);
                state.story.add(step.what);
                if (state.uses(0) && state.uses(1)) {
                    return state.story;
                }
            }
        }
        return null;
    }

    private static final double SLOW = 1 - RATES;
    private static final double FAST = 1 + RATES;

    /** Every way to this depth is gone: some hundred thousand states for each set of clocks. */
    private static final int DEPTH = 6;

    private static final int WALK = 30;
    private static final int WALKS = 250_000;

    @DataProvider
    public Object[][] clocks() {
        return new Object[][] {
            {new double[] {1, 1, 1}, NAMES}, {new double[] {SLOW, FAST, FAST}, NAMES},
            {new double[] {FAST, SLOW, SLOW}, NAMES}, {new double[] {SLOW, FAST, 1}, NAMES},
            {new double[] {SLOW, SLOW, FAST}, TWINS}, {new double[] {FAST, SLOW, FAST}, TWINS},
        };
    }

    @Test(dataProvider = "clocks")
    public void noTwoUseItAtOnce(double[] rates, PeerId[] names) {
        List<String> story = broken(rates, names);
        assertNull(story, String.valueOf(story));
        assertTrue(states > 5_000, states + " states were seen");
        List<String> deep = brokenAtLast(Guard.NONE, rates, names, WALKS / 10);
        assertNull(deep, String.valueOf(deep));
    }

    @DataProvider
    public Object[][] guards() {
        return Arrays.stream(Guard.values())
                .filter(g -> g != Guard.NONE)
                .map(g -> new Object[] {g})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "guards")
    public void withoutOneGuardTwoUseItAtOnce(Guard guard) {
        assertNotNull(
                brokenAtLast(
                        guard,
                        new double[] {SLOW, FAST, FAST},
                        guard == Guard.LIFE ? TWINS : NAMES,
                        WALKS),
                "not found");
    }
}
