package wheelroute.kit.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import picocli.CommandLine;
import wheelroute.kit.SmallScenario;
import wheelroute.kit.scenario.ScenarioLibrary;

/** Commands, their exit codes, and what is said of input that cannot be used. */
public class CommandLineTest {
    private final StringWriter said = new StringWriter();

    private int run(String... args) {
        said.getBuffer().setLength(0);
        return run(said, args);
    }

    static int run(StringWriter said, String... args) {
        CommandLine line = Wheelroute.commandLine();
        PrintWriter writer = new PrintWriter(said, true);
        return line.setOut(writer).setErr(writer).execute(args);
    }

    @DataProvider
    public Object[][] bad() {
        return new Object[][] {
            {"rehearse nowhere", Exit.BAD_INPUT, "nowhere: 1 fault"},
            {"rehearse ./nowhere.toml", Exit.BAD_INPUT, "cannot be read"},
            {"rehearse calm calm", Exit.BAD_INPUT, "calm is named twice"},
            {
                "rehearse calm --clock sun",
                Exit.BAD_INPUT,
                "--clock: sun is none of virtual, real, both"
            },
            {
                "rehearse hundred --clock real",
                Exit.BAD_INPUT,
                "hundred cannot run on the real clock"
            },
            {"rehearse calm --clock real --baselines", Exit.BAD_INPUT, "on the virtual clock only"},
            {"rehearse calm --seed x", Exit.BAD_INPUT, "--seed: x is no whole number"},
            {"rehearse calm --seed 9..2", Exit.BAD_INPUT, "--seed: 9..2 is no range"},
            {"rehearse calm --seconds 0.5", Exit.BAD_INPUT, "--seconds: 0.5 is under 1"},
            {"rehearse calm --cores 0", Exit.BAD_INPUT, "--cores: 0 is under 1"},
            {
                "rehearse calm --json /nowhere/at/all.json",
                Exit.BAD_INPUT,
                "is in a directory that does not exist"
            },
            {"rehearse calm --html /", Exit.BAD_INPUT, "--html: / is a directory"},
            {"rehearse calm --variant as-built", Exit.BAD_INPUT, "as-built is named twice"},
            {"rehearse calm --sead 3", Exit.BAD_USAGE, "Unknown option"},
            {"check /nowhere/at/all", Exit.BAD_INPUT, "/nowhere/at/all is no file"},
            {"load 8081 --offering x --rate 1", Exit.BAD_INPUT, "8081 is no address"},
            {
                "load 192.0.2.1:80 --offering x --rate 1",
                Exit.BAD_INPUT,
                "is no address of this machine"
            },
            {"load 127.0.0.1:1 --offering x", Exit.BAD_INPUT, "one of them must be above 0"},
            {
                "load 127.0.0.1:1 --offering a/b --rate 1",
                Exit.BAD_INPUT,
                "--offering: a/b cannot be part of a path"
            },
            {
                "load 127.0.0.1:1 --offering x --rate 1 --work 0",
                Exit.BAD_INPUT,
                "--work: 0.0 is not from"
            },
            {"stand-in nowhere", Exit.BAD_INPUT, "nowhere: 1 fault"},
            {"scale --size /nowhere/at/all", Exit.BAD_INPUT, "--size: /nowhere/at/all is no file"},
            {"scale --quick --full", Exit.BAD_USAGE, "mutually exclusive"},
            {"capacity", Exit.BAD_USAGE, "--check"},
            {
                "capacity --check /nowhere --slopes /at/all",
                Exit.BAD_INPUT,
                "--slopes: /at/all is no file"
            },
            {"", Exit.BAD_USAGE, "Usage"},
            {"dance", Exit.BAD_USAGE, "dance"},
        };
    }

    @Test(dataProvider = "bad")
    public void badInputIsNamedWithoutATrace(String args, int code, String told) {
        assertEquals(run(args.isEmpty() ? new String[0] : args.split(" ")), code, said.toString());
        assertTrue(said.toString().contains(told), said.toString());
        assertTrue(!said.toString().contains("\tat "), said.toString());
    }

    @DataProvider
    public Object[][] verdicts() {
        return new Object[][] {
            {"", Exit.HOLDS},
            {"[expect.service]\nleast = 1.01\n", Exit.DOES_NOT_HOLD},
            {"[expect.bounced]\nmost = -1\n", Exit.DOES_NOT_HOLD},
        };
    }

    @Test(dataProvider = "verdicts")
    public void theExitCodeIsTheVerdict(String more, int code) throws Exception {
        Path folder = Files.createTempDirectory("rehearse");
        Path file = folder.resolve("s.toml");
        Path json = folder.resolve("out.json");
        Path html = folder.resolve("out.html");
        Files.writeString(file, SmallScenario.TEXT + more);
        assertEquals(
                run(
                        "rehearse",
                        file.toString(),
                        "--clock",
                        "virtual",
                        "--twice",
                        "--json",
                        json.toString(),
                        "--html",
                        html.toString()),
                code,
                said.toString());
        assertTrue(said.toString().contains("the same seed twice agree"), said.toString());
        assertTrue(
                Files.readString(json).contains("\"scenario\" : \"" + file),
                "the report names its scenario");
        assertTrue(Files.readString(html).endsWith("</html>\n"));
        assertEquals(run("check", file.toString()), Exit.HOLDS, said.toString());
        try (var left = Files.list(folder)) {
            assertEquals(left.count(), 3, "something is left beside the scenario and the reports");
        }
        for (Path path : new Path[] {file, json, html, folder}) {
            Files.delete(path);
        }
    }

    @Test
    public void everyShippedScenarioIsListed() {
        assertEquals(run("rehearse", "--list"), Exit.HOLDS);
        ScenarioLibrary.NAMES.forEach(name -> assertTrue(said.toString().contains(name + " ")));
    }
}
