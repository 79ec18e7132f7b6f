package wheelroute.kit.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ActiveLinkFaultsTest {
    private static final NetworkLink LINK = new NetworkLink(0, 3);
    private static final double LEVEL = 0.25;
    private static final double JITTER_SECONDS = 0.5;

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            // active faults, resulting state of the link
            {List.of(), LinkState.OPEN},
            {List.of(LinkFault.PARTITION), LinkStates.PARTITIONED},
            {List.of(LinkFault.REFUSE), LinkStates.REFUSING},
            {List.of(LinkFault.INBOUND_CUT), LinkStates.OUTBOUND_ONLY},
            {List.of(LinkFault.DELAY), LinkStates.delayed(0.25, 0.5)},
            {List.of(LinkFault.DELAY, LinkFault.DELAY), LinkStates.delayed(0.5, 1)},
            {List.of(LinkFault.PARTITION, LinkFault.INBOUND_CUT), LinkStates.PARTITIONED},
            {List.of(LinkFault.OUTBOUND_CUT), LinkStates.INBOUND_ONLY},
            {List.of(LinkFault.OUTBOUND_CUT, LinkFault.INBOUND_CUT), LinkStates.PARTITIONED},
            {List.of(LinkFault.LOSS, LinkFault.LOSS), LinkStates.losing(0.4375)},
            {
                List.of(LinkFault.BANDWIDTH, LinkFault.LOSS),
                new LinkState(false, true, true, 0, 0, 0.25, 0.25, 0)
            },
            {
                List.of(LinkFault.REFUSE, LinkFault.PARTITION, LinkFault.DELAY),
                new LinkState(true, false, false, 0.25, 0.5, 0, LinkStates.UNLIMITED, 0)
            },
        };
    }

    @Test(dataProvider = "faults")
    public void combinesFaultsAndOpensWhenAllHaveEnded(
            List<LinkFault> faults, LinkState expectedState) {
        ActiveLinkFaults links = new ActiveLinkFaults((link, state) -> assertEquals(link, LINK));
        faults.forEach(fault -> links.add(fault, LEVEL, JITTER_SECONDS, List.of(LINK)));
        assertEquals(links.state(LINK), expectedState);
        assertEquals(links.state(new NetworkLink(1, 3)), LinkState.OPEN);
        assertEquals(links.state(NetworkLink.toDiscovery(0)), LinkState.OPEN);
        faults.forEach(fault -> links.remove(fault, LEVEL, JITTER_SECONDS, List.of(LINK)));
        assertEquals(links.state(LINK), LinkState.OPEN);
    }

    @Test
    public void notifiesListenerOfChangedStatesOnly() {
        List<String> changes = new ArrayList<>();
        ActiveLinkFaults links =
                new ActiveLinkFaults(
                        (link, state) -> changes.add(link.remote() + " " + state.inbound()));
        List<NetworkLink> both = List.of(new NetworkLink(0, 1), new NetworkLink(0, 2));
        links.add(LinkFault.PARTITION, 1, 0, both);
        links.add(LinkFault.INBOUND_CUT, 1, 0, both.subList(0, 1));
        links.remove(LinkFault.PARTITION, 1, 0, both);
        links.remove(LinkFault.INBOUND_CUT, 1, 0, both.subList(0, 1));
        assertEquals(changes, List.of("1 false", "2 false", "1 false", "2 true", "1 true"));
    }

    @Test
    public void rejectsEndOfFaultThatIsNotActive() {
        ActiveLinkFaults links = new ActiveLinkFaults((link, state) -> {});
        links.add(LinkFault.DELAY, 1, 0, List.of(LINK));
        expectThrows(
                ActiveLinkFaults.FaultNotActiveException.class,
                () -> links.remove(LinkFault.PARTITION, 1, 0, List.of(LINK)));
    }
}
