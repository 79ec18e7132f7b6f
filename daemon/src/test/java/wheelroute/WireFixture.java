package wheelroute;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Texts recorded from commit 98941f2 that later versions must write and read byte for byte. */
public final class WireFixture {
    private WireFixture() {}

    /** Returns the content of a file under {@code wire/} on the test class path. */
    public static String read(String name) {
        try (InputStream in = WireFixture.class.getResourceAsStream("/wire/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("cannot read fixture " + name, e);
        }
    }
}
