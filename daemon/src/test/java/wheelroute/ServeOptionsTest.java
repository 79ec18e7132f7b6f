package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ServeOptionsTest {
    @DataProvider
    public Object[][] validArguments() {
        return new Object[][] {
            // Each row holds the arguments, the log format and the configuration file.
            {"serve", null, null},
            {"serve a.toml", null, "a.toml"},
            {"serve --log-format json", "json", null},
            {"serve --log-format text a.toml", "text", "a.toml"},
            {"serve --log-format text --log-format json", "json", null},
        };
    }

    @Test(dataProvider = "validArguments")
    public void parsesOptions(String arguments, String logFormat, String configFile)
            throws UsageException {
        assertEquals(
                ServeOptions.parse(arguments.split(" ")), new ServeOptions(logFormat, configFile));
    }

    @DataProvider
    public Object[][] invalidArguments() {
        return new Object[][] {
            {"serve --log-format"},
            {"serve --log-format xml"},
            {"serve a.toml b.toml"},
            {"serve -x"},
            {"serve a.toml --log-format json"},
        };
    }

    @Test(dataProvider = "invalidArguments")
    public void rejectsUnexpectedArgument(String arguments) {
        assertThrows(UsageException.class, () -> ServeOptions.parse(arguments.split(" ")));
    }
}
