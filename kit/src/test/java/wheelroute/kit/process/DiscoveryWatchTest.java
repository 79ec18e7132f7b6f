package wheelroute.kit.process;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DiscoveryWatchTest {
    @Test
    public void parsesVersionAndHold() {
        assertEquals(
                DiscoveryWatch.parse("/v1/servers?from=17&hold_ms=3500"),
                Optional.of(new DiscoveryWatch(17, 3.5)));
    }

    @DataProvider
    public Object[][] otherTargets() {
        return new Object[][] {
            {"/v1/servers"}, {"/v1/servers?from=17"}, {"/v1/servers?from=-1&hold_ms=3500"},
        };
    }

    @Test(dataProvider = "otherTargets")
    public void ignoresOtherTargets(String target) {
        assertEquals(DiscoveryWatch.parse(target), Optional.empty());
    }
}
