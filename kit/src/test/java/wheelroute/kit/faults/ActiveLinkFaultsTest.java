package wheelroute.kit.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which way lets what through, while several harms lie over one another. */
public class ActiveLinkFaultsTest {
    private static final NetworkLink ONE = new NetworkLink(0, 3);
    private static final double FULL = Double.POSITIVE_INFINITY;
    private static final LinkState SHUT = new LinkState(false, false, false, 0, 0, 0, FULL, 0);

    private final List<String> told = new ArrayList<>();

    @DataProvider
    public Object[][] harms() {
        return new Object[][] {
            {List.of(), LinkState.OPEN},
            {List.of(LinkFault.PARTITION), SHUT},
            {List.of(LinkFault.REFUSE), new LinkState(true, false, false, 0, 0, 0, FULL, 0)},
            {List.of(LinkFault.ONE_WAY), new LinkState(false, true, false, 0, 0, 0, FULL, 0)},
            {List.of(LinkFault.SLOW), new LinkState(false, true, true, 0.25, 0.5, 0, FULL, 0)},
            {
                List.of(LinkFault.SLOW, LinkFault.SLOW),
                new LinkState(false, true, true, 0.5, 1, 0, FULL, 0)
            },
            {List.of(LinkFault.PARTITION, LinkFault.ONE_WAY), SHUT},
            {List.of(LinkFault.UNHEARD), new LinkState(false, false, true, 0, 0, 0, FULL, 0)},
            {List.of(LinkFault.UNHEARD, LinkFault.ONE_WAY), SHUT},
            {
                List.of(LinkFault.LOSS, LinkFault.LOSS),
                new LinkState(false, true, true, 0, 0, 0.4375, FULL, 0)
            },
            {
                List.of(LinkFault.BANDWIDTH, LinkFault.LOSS),
                new LinkState(false, true, true, 0, 0, 0.25, 0.25, 0)
            },
            {
                List.of(LinkFault.REFUSE, LinkFault.PARTITION, LinkFault.SLOW),
                new LinkState(true, false, false, 0.25, 0.5, 0, FULL, 0)
            },
        };
    }

    /**
     * Begun in one order, healed in the other: open at the end, and the other ways never touched.
     */
    @Test(dataProvider = "harms")
    public void harmsAddUpAndHeal(List<LinkFault> harms, LinkState state) {
        ActiveLinkFaults links = new ActiveLinkFaults((link, now) -> assertEquals(link, ONE));
        harms.forEach(fault -> links.add(fault, 0.25, 0.5, List.of(ONE)));
        assertEquals(links.state(ONE), state);
        assertEquals(links.state(new NetworkLink(1, 3)), LinkState.OPEN);
        assertEquals(links.state(NetworkLink.toDiscovery(0)), LinkState.OPEN);
        harms.forEach(fault -> links.remove(fault, 0.25, 0.5, List.of(ONE)));
        assertEquals(links.state(ONE), LinkState.OPEN);
    }

    /** Whoever carries it out hears of each change once, and of nothing that changes nothing. */
    @Test
    public void onlyChangesAreTold() {
        told.clear();
        ActiveLinkFaults links =
                new ActiveLinkFaults((link, now) -> told.add(link.worker() + " " + now.inbound()));
        List<NetworkLink> both = List.of(new NetworkLink(0, 1), new NetworkLink(0, 2));
        links.add(LinkFault.PARTITION, 1, 0, both);
        links.add(LinkFault.ONE_WAY, 1, 0, both.subList(0, 1));
        links.remove(LinkFault.PARTITION, 1, 0, both);
        links.remove(LinkFault.ONE_WAY, 1, 0, both.subList(0, 1));
        assertEquals(told, List.of("1 false", "2 false", "1 false", "2 true", "1 true"));
    }

    @Test
    public void whatIsNotHarmedCannotHeal() {
        ActiveLinkFaults links = new ActiveLinkFaults((link, now) -> {});
        links.add(LinkFault.SLOW, 1, 0, List.of(ONE));
        expectThrows(
                IllegalStateException.class,
                () -> links.remove(LinkFault.PARTITION, 1, 0, List.of(ONE)));
    }
}
