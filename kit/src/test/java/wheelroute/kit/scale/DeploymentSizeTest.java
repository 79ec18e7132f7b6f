package wheelroute.kit.scale;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DeploymentSizeTest {
    @DataProvider
    public Object[][] invalidSizes() {
        return new Object[][] {
            // text that is replaced, its replacement, expected part of the message
            {"workers = 1000", "", "'workers' is missing"},
            {"workers = 1000", "workers = \"many\"", "'workers' must be a number above 0: many"},
            {"workers = 1000", "workers = 0", "'workers' must be a number above 0: 0"},
            {"dispatchers = [10]", "dispatchers = []", "'dispatchers' must be a list"},
            {
                "dispatchers = [10]",
                "dispatchers = [10, -1]",
                "'dispatchers' must be a number above 0: -1"
            },
            {"name = \"small\"", "", "'name' is missing"},
            {"zones = 4", "zones = 4\nshards = 3", "unknown key 'shards'"},
            {"zones = 4", "zones = = 4", "line 6"},
        };
    }

    @Test(dataProvider = "invalidSizes")
    public void rejectsInvalidFileAndNamesProblem(
            String text, String replacement, String expectedMessage) throws IOException {
        Path file = SmallDeployment.fileWith(text, replacement);
        String message =
                expectThrows(
                                DeploymentSize.InvalidDeploymentSizeException.class,
                                () -> DeploymentSize.read(file))
                        .getMessage();
        assertTrue(message.contains(expectedMessage) && message.contains(file.toString()), message);
    }
}
