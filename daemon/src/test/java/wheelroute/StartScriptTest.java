package wheelroute;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The start script, with a stand-in for the runtime that prints its flags, and with no other
 * program on the path: where forks are refused, the script must work with shell built-ins alone.
 */
public class StartScriptTest {
    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

    @DataProvider
    public Object[][] configurations() {
        String blanks =
                "{ \"limits\" :\n\t{ \"cores\": 0.5,\r\n \"memory_mb\" : 100 },\n \"known\": {} }\n";
        return new Object[][] {
            {"{\"limits\":{\"cores\":1.0,\"memory_mb\":80,\"sockets\":9}}", "-Xmx35m"},
            {"{\"known\":{\"servers\":[{\"a\":{}}]},\"limits\":{\"memory_mb\":80}}", "-Xmx35m"},
            {blanks, "-Xmx55m"},
            {"{\"limits\":\r\n{\"memory_mb\":\r\n80\r\n}}", "-Xmx35m"},
            {"{\"limits\":{\"memory_mb\":20}}", "-Xmx16m"},
            {"{\"limits\":{\"memory_mb\":4000}}", "-Xmx96m"},
            // Names of request classes are no keys.
            {
                "{\"settings\":{\"request_classes\":[\n{\"name\":\"limits\",\"worth\":1},\n{\"name\":"
                        + "\"memory_mb\",\"worth\":64}]},\n\"limits\":\n{\"memory_mb\":80}}",
                "-Xmx35m"
            },
            {"{\"settings\":{\"memory_mb\":64},\n\"limits\":{\"memory_mb\":80}}", "-Xmx35m"},
            // An invalid limit yields the default heap; the program reports the error.
            {"{\"limits\":{\"memory_mb\":\"80\"}}", "-Xmx96m"},
            {"{\"limits\":{\"memory_mb\":12345678901234567890}}", "-Xmx96m"},
            {"{\"limits\":{\"memory_mb\":080}}", "-Xmx96m"},
            {"{\"limits\":{\"cores\":1},\"other\":{\"memory_mb\":64}}", "-Xmx96m"},
            // The key crosses the boundary of a block that is read, or the file is incomplete.
            {" ".repeat(65_536 - 12) + "{\"limits\":{\"memory_mb\":80}}", "-Xmx35m"},
            {" ".repeat(65_536 - 24) + "{\"limits\":{\"memory_mb\":80}}", "-Xmx35m"},
            {" ".repeat(65_536 - 25) + "{\"limits\":{\"memory_mb\":80}}", "-Xmx35m"},
            {
                " ".repeat(200_000)
                        + "{\"limits\":{\"memory_mb\":208},"
                        + " ".repeat(100_000)
                        + "\"admin\":\"127.0.0.1:1\"}",
                "-Xmx59m"
            },
            {"{\"limits\":{\"memory_mb\":80", "-Xmx96m"},
            {"* $(echo) `echo` \\", "-Xmx96m"},
            {"", "-Xmx96m"},
            // With an admin address two processes may share the limit, so each has half of it.
            {"{\"admin\":\"127.0.0.1:1\",\"limits\":{\"memory_mb\":208}}", "-Xmx59m"},
            {"{\"admin\" : \"127.0.0.1:1\", \"limits\":{\"memory_mb\":72}}", "-Xmx16m"},
        };
    }

    @Test(dataProvider = "configurations")
    public void readsHeapSizeWithoutStartingPrograms(String text, String heap) throws Exception {
        Path dir = Files.createTempDirectory("start");
        Path file = Files.writeString(dir.resolve("config.json"), text);
        Result result = start(dir, Map.of("LB_CONFIG", file.toString()));
        assertEquals(result.code, 0, result.text);
        assertTrue(result.text.contains(" " + heap + " "), result.text);
    }

    @Test
    public void halvesHeapWhenAdminAddressIsInEnvironment() throws Exception {
        Path dir = Files.createTempDirectory("start");
        Path file =
                Files.writeString(dir.resolve("config.json"), "{\"limits\":{\"memory_mb\":144}}");
        Result result = start(dir, Map.of("LB_CONFIG", file.toString(), "LB_ADMIN", "127.0.0.1:1"));
        assertTrue(result.text.contains(" -Xmx27m "), result.text);
    }

    @Test
    public void startsProgramWhenConfigurationIsUnreadable() throws Exception {
        Path dir = Files.createTempDirectory("start");
        for (Path none : new Path[] {dir.resolve("none.json"), dir}) {
            Result result = start(dir, Map.of("LB_CONFIG", none.toString()));
            assertEquals(result.code, 0, result.text);
            assertTrue(result.text.contains(" -Xmx96m "), result.text);
        }
    }

    @Test
    public void namesMissingConfigurationVariable() throws Exception {
        Result result = start(Files.createTempDirectory("start"), Map.of());
        assertEquals(result.code, 2);
        assertTrue(result.text.contains("LB_CONFIG: names no configuration file"), result.text);
    }

    private record Result(int code, String text) {}

    private static Result start(Path dir, Map<String, String> variables) throws Exception {
        Path runtime = Files.writeString(dir.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(runtime.toFile().setExecutable(true));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/bash", ROOT.resolve("deploy/run.sh").toString());
        builder.environment().clear();
        builder.environment().put("PATH", dir.toString());
        builder.environment().putAll(variables);
        Process process = builder.redirectErrorStream(true).start();
        String text = new String(process.getInputStream().readAllBytes(), UTF_8);
        return new Result(process.waitFor(), text);
    }
}
