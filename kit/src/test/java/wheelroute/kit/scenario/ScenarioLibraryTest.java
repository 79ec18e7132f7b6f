package wheelroute.kit.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Settings;

public class ScenarioLibraryTest {
    @DataProvider
    public Object[][] shippedScenarios() {
        return ScenarioLibrary.NAMES.stream()
                .map(name -> new Object[] {name})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "shippedScenarios")
    public void shippedScenarioHasExpectationsAndValidSettings(String name) throws Exception {
        Scenario scenario = ScenarioLibrary.find(name);
        assertTrue(scenario.expectations().size() > 0, name + " has no expectations");
        Settings settings =
                DaemonSettings.settings(1, DaemonSettings.settingsByPath(scenario, Map.of()));
        assertEquals(settings.requestClasses().size(), scenario.requestClasses().size());
    }
}
