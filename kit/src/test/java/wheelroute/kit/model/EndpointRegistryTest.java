package wheelroute.kit.model;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.testng.annotations.Test;

public class EndpointRegistryTest {
    /**
     * An update delayed by a longer lag must not replace a newer one: the update of the start takes
     * 3 s, and that of the second crash 1 s.
     */
    @Test
    public void ignoresUpdateThatWasOvertaken() {
        WorkerHarness harness = new WorkerHarness("[terms]\nlist_lag = 1\n");
        List<String> changes = new ArrayList<>();
        double startAt = harness.time.now();
        harness.cluster.registry.watch(
                entry ->
                        changes.add(
                                entry.worker().name
                                        + " "
                                        + entry.state()
                                        + String.format(
                                                Locale.ROOT,
                                                " %.1f",
                                                harness.time.now() - startAt)));
        harness.worker.crash();
        harness.advance(0.5);
        harness.cluster.registry.addLag(2);
        harness.worker.start();
        harness.cluster.registry.addLag(-2);
        harness.advance(0.1);
        harness.worker.crash();
        harness.advance(5);
        assertEquals(changes, List.of("near-0 REMOVED 1.0", "near-0 REMOVED 1.6"));
    }
}
