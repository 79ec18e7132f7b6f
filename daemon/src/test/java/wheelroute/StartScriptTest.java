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
 * Runs the start script with a stub of the Java runtime that prints its arguments, and with no
 * other program on the path: the script must work with shell built-ins alone, since a host may
 * refuse forks.
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
            // The name of a request class is not read as a key.
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
            // The key crosses the boundary of a block that the script reads.
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
            // An incomplete or invalid file yields the default heap.
            {"{\"limits\":{\"memory_mb\":80", "-Xmx96m"},
            {"* $(echo) `echo` \\", "-Xmx96m"},
            {"", "-Xmx96m"},
            // With an admin address, two processes may share the limit, so each gets half of it.
            {"{\"admin\":\"127.0.0.1:1\",\"limits\":{\"memory_mb\":208}}", "-Xmx59m"},
            {"{\"admin\" : \"127.0.0.1:1\", \"limits\":{\"memory_mb\":72}}", "-Xmx16m"},
        };
    }

    @Test(dataProvider = "configurations")
    public void readsHeapSizeWithoutStartingPrograms(String config, String heapFlag)
            throws Exception {
        Path dir = Files.createTempDirectory("start");
        Path file = Files.writeString(dir.resolve("config.json"), config);
        Result result = start(dir, Map.of("LB_CONFIG", file.toString()));
        assertEquals(result.exitCode, 0, result.output);
        assertTrue(result.output.contains(" " + heapFlag + " "), result.output);
    }

    @Test
    public void halvesHeapWhenAdminAddressIsInEnvironment() throws Exception {
        Path dir = Files.createTempDirectory("start");
        Path file =
                Files.writeString(dir.resolve("config.json"), "{\"limits\":{\"memory_mb\":144}}");
        Result result = start(dir, Map.of("LB_CONFIG", file.toString(), "LB_ADMIN", "127.0.0.1:1"));
        assertTrue(result.output.contains(" -Xmx27m "), result.output);
    }

    @Test
    public void startsProgramWhenConfigurationIsUnreadable() throws Exception {
        Path dir = Files.createTempDirectory("start");
        for (Path unreadable : new Path[] {dir.resolve("none.json"), dir}) {
            Result result = start(dir, Map.of("LB_CONFIG", unreadable.toString()));
            assertEquals(result.exitCode, 0, result.output);
            assertTrue(result.output.contains(" -Xmx96m "), result.output);
        }
    }

    @Test
    public void namesMissingConfigurationVariable() throws Exception {
        Result result = start(Files.createTempDirectory("start"), Map.of());
        assertEquals(result.exitCode, 2);
        assertTrue(result.output.contains("LB_CONFIG: names no configuration file"), result.output);
    }

    private record Result(int exitCode, String output) {}

    private static Result start(Path dir, Map<String, String> variables) throws Exception {
        Path runtime = Files.writeString(dir.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(runtime.toFile().setExecutable(true));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/bash", ROOT.resolve("deploy/run.sh").toString());
        builder.environment().clear();
        builder.environment().put("PATH", dir.toString());
        builder.environment().putAll(variables);
        Process process = builder.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), UTF_8);
        return new Result(process.waitFor(), output);
    }
}
