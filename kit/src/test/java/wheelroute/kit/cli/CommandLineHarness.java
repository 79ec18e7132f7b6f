package wheelroute.kit.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** Runs commands and keeps the output and error text of the last one. */
final class CommandLineHarness {
    private final StringWriter output = new StringWriter();

    /** Runs a command and returns its exit code. */
    int run(String... args) {
        output.getBuffer().setLength(0);
        CommandLine line = Wheelroute.commandLine();
        PrintWriter writer = new PrintWriter(output, true);
        return line.setOut(writer).setErr(writer).execute(args);
    }

    String output() {
        return output.toString();
    }

    void assertExitCode(int expected, String... args) {
        int code = run(args);
        assertEquals(code, expected, output());
    }

    void assertOutputContains(String expected) {
        assertTrue(output().contains(expected), output());
    }

    /** Runs a command that must fail with this message and without a stack trace. */
    void assertFails(String commandLine, int exitCode, String message) {
        assertExitCode(exitCode, commandLine.isEmpty() ? new String[0] : commandLine.split(" "));
        assertOutputContains(message);
        assertFalse(output().contains("\tat "), output());
    }
}
