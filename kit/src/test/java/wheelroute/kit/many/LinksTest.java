package wheelroute.kit.many;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which way lets what through, while several harms lie over one another. */
public class LinksTest {
    private static final Way ONE = new Way(0, 3);
    private static final double FULL = Double.POSITIVE_INFINITY;
    private static final Passage SHUT = new Passage(false, false, false, 0, 0, 0, FULL, 0);

    private final List<String> told = new ArrayList<>();

    @DataProvider
    public Object[][] harms() {
        return new Object[][] {
            {List.of(), Passage.OPEN},
            {List.of(Harm.CUT), SHUT},
            {List.of(Harm.REFUSE), new Passage(true, false, false, 0, 0, 0, FULL, 0)},
            {List.of(Harm.ONE_WAY), new Passage(false, true, false, 0, 0, 0, FULL, 0)},
            {List.of(Harm.SLOW), new Passage(false, true, true, 0.25, 0.5, 0, FULL, 0)},
            {List.of(Harm.SLOW, Harm.SLOW), new Passage(false, true, true, 0.5, 1, 0, FULL, 0)},
            {List.of(Harm.CUT, Harm.ONE_WAY), SHUT},
            {List.of(Harm.UNHEARD), new Passage(false, false, true, 0, 0, 0, FULL, 0)},
            {List.of(Harm.UNHEARD, Harm.ONE_WAY), SHUT},
            {List.of(Harm.LOSS, Harm.LOSS), new Passage(false, true, true, 0, 0, 0.4375, FULL, 0)},
            {List.of(Harm.TRICKLE, Harm.LOSS), new Passage(false, true, true, 0, 0, 0.25, 0.25, 0)},
            {
                List.of(Harm.REFUSE, Harm.CUT, Harm.SLOW),
                new Passage(true, false, false, 0.25, 0.5, 0, FULL, 0)
            },
        };
    }

    /**
     * Begun in one order, healed in the other: open at the end, and the other ways never touched.
     */
    @Test(dataProvider = "harms")
    public void harmsAddUpAndHeal(List<Harm> harms, Passage passage) {
        Links links = new Links((way, now) -> assertEquals(way, ONE));
        harms.forEach(harm -> links.begin(harm, 0.25, 0.5, List.of(ONE)));
        assertEquals(links.passage(ONE), passage);
        assertEquals(links.passage(new Way(1, 3)), Passage.OPEN);
        assertEquals(links.passage(Way.toList(0)), Passage.OPEN);
        harms.forEach(harm -> links.heal(harm, 0.25, 0.5, List.of(ONE)));
        assertEquals(links.passage(ONE), Passage.OPEN);
    }

    /** Whoever carries it out hears of each change once, and of nothing that changes nothing. */
    @Test
    public void onlyChangesAreTold() {
        told.clear();
        Links links = new Links((way, now) -> told.add(way.worker() + " " + now.back()));
        List<Way> both = List.of(new Way(0, 1), new Way(0, 2));
        links.begin(Harm.CUT, 1, 0, both);
        links.begin(Harm.ONE_WAY, 1, 0, both.subList(0, 1));
        links.heal(Harm.CUT, 1, 0, both);
        links.heal(Harm.ONE_WAY, 1, 0, both.subList(0, 1));
        assertEquals(told, List.of("1 false", "2 false", "1 false", "2 true", "1 true"));
    }

    @Test
    public void whatIsNotHarmedCannotHeal() {
        Links links = new Links((way, now) -> {});
        links.begin(Harm.SLOW, 1, 0, List.of(ONE));
        expectThrows(IllegalStateException.class, () -> links.heal(Harm.CUT, 1, 0, List.of(ONE)));
    }
}
