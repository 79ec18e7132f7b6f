package wheelroute.kit.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class VariantTest {
    @DataProvider
    public Object[][] invalidTexts() {
        return new Object[][] {
            {":a=b", "variant ':a=b': empty name, expected NAME:KEY=VALUE"},
            {"x:a", "expected KEY=VALUE, got 'a'"},
            {"x:=b", "expected KEY=VALUE, got '=b'"},
            {"x:brain=none", "unknown strategy 'none', expected one of least-outstanding, module"},
            {"x:daemon=/nowhere/at/all.jar", "daemon jar not found: /nowhere/at/all.jar"},
        };
    }

    @Test(dataProvider = "invalidTexts")
    public void rejectsInvalidText(String text, String message) {
        InvalidVariantException e =
                expectThrows(InvalidVariantException.class, () -> Variant.parse(text));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    public void parsesStrategyJarAndSettings() throws Exception {
        Path jar = Files.createTempFile("daemon", ".jar");
        Variant variant = Variant.parse("x:brain=random, permissions.most_tries = 2,daemon=" + jar);
        assertEquals(variant.strategy(), "random");
        assertEquals(variant.settings().get("permissions.most_tries"), "2");
        assertEquals(variant.jar(), jar.toAbsolutePath());
        Files.delete(jar);
    }
}
