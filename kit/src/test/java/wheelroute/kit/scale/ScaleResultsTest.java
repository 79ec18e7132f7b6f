package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ScaleResultsTest {
    @Test
    public void readsWhatItHasWritten() throws IOException {
        ScaleResults results = SmallDeployment.results();
        assertEquals(ScaleResults.read(results.json()), results);
    }

    @Test
    public void fitsLinesAgainToThePointsOfTheFile() throws IOException {
        String json = SmallDeployment.results().json();
        String changed = json.replace("\"slope\" : 0.002", "\"slope\" : 0.003");
        assertTrue(!changed.equals(json), json);
        assertEquals(ScaleResults.read(changed), SmallDeployment.results());
    }

    @DataProvider
    public Object[][] invalidResults() {
        return new Object[][] {
            {"{\"version\":9}", "unsupported version 9"},
            {"{\"fits\":[{\"name\":\"a\",\"points\":[[1,2]]}]}", "a has 1 points"},
        };
    }

    @Test(dataProvider = "invalidResults")
    public void rejectsInvalidText(String text, String expectedMessage) {
        String message =
                expectThrows(IOException.class, () -> ScaleResults.read(text)).getMessage();
        assertTrue(message.contains(expectedMessage), message);
    }
}
