package wheelroute.kit.scenario;

import static org.testng.Assert.assertEquals;

import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.kit.SmallScenario;

public class ScenarioWriterTest {
    /** Lines that set keys with defaults to other values. */
    private static final String ALL_OPTIONAL_KEYS =
            """
            [clients]
            fresh = 0.25
            writes = 0.5
            [limits]
            memory_mb = 96
            sockets = 512
            [changed]
            "permissions.most_tries" = "4"
            [expect."offering:free"]
            least = 0.1
            [[faults]]
            kind = "link-slow"
            at = 1
            for = 1
            to = "clients"
            spread = 0.0125
            [[faults]]
            kind = "dispatcher-replace"
            at = 1
            for = 1
            how = "old-killed"
            [[faults]]
            kind = "link-cut"
            at = 1
            for = 1
            zone = "b"
            within = 0.5
            [[faults]]
            kind = "link-double"
            at = 1
            for = 1
            to = "peers"
            others = 0.5
            """;

    @DataProvider
    public Object[][] scenarios() {
        return Stream.concat(ScenarioLibrary.NAMES.stream(), Stream.of(ALL_OPTIONAL_KEYS))
                .map(nameOrLines -> new Object[] {nameOrLines})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "scenarios")
    public void writtenScenarioIsReadAsTheSame(String nameOrLines) throws Exception {
        Scenario scenario =
                ScenarioLibrary.NAMES.contains(nameOrLines)
                        ? ScenarioLibrary.find(nameOrLines)
                        : SmallScenario.scenario(nameOrLines, 3, "clocks = [\"real\"]");
        assertEquals(ScenarioReader.read(scenario.name(), ScenarioWriter.text(scenario)), scenario);
    }
}
