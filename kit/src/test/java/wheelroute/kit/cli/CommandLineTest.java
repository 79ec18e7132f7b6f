package wheelroute.kit.cli;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the exit code and the error message for invalid arguments. */
public class CommandLineTest {
    private final CommandLineHarness harness = new CommandLineHarness();

    @DataProvider
    public Object[][] invalidRehearsals() {
        return new Object[][] {
            {"rehearse nowhere", "nowhere: 1 error"},
            {"rehearse ./nowhere.toml", "cannot be read"},
            {"rehearse calm calm", "scenario calm is given more than once"},
            {"rehearse calm --clock sun", "--clock: expected virtual, real or both, got sun"},
            {"rehearse hundred --clock real", "hundred cannot run on the real clock"},
            {"rehearse calm --clock real --baselines", "on the virtual clock only"},
            {
                "rehearse calm --seed x",
                "--seed: expected an integer or a range such as 1..20, got x"
            },
            {
                "rehearse calm --seed 9..2",
                "--seed: expected an ascending range that spans at most 1000, got 9..2"
            },
            {"rehearse calm --seconds 0.5", "--seconds: expected at least 1, got 0.5"},
            {"rehearse calm --cores 0", "--cores: expected at least 1, got 0"},
            {"rehearse calm --json /nowhere/at/all.json", "in a directory that does not exist"},
            {"rehearse calm --html /", "--html: / is a directory"},
            {"rehearse calm --variant as-built", "--variant: name as-built is used more than once"},
        };
    }

    @Test(dataProvider = "invalidRehearsals")
    public void rehearseRejectsInvalidArgument(String commandLine, String message) {
        harness.assertFails(commandLine, ExitCode.INVALID_INPUT, message);
    }

    @DataProvider
    public Object[][] invalidLoads() {
        return new Object[][] {
            {"load 8081 --offering x --rate 1", "HOST:PORT: expected an address, got 8081"},
            {
                "load 192.0.2.1:80 --offering x --rate 1",
                "192.0.2.1:80 is not an address of this machine"
            },
            {"load 127.0.0.1:1 --offering x", "one of them must be above 0"},
            {
                "load 127.0.0.1:1 --offering a/b --rate 1",
                "--offering: expected 1 to 100 letters, digits or ._~-, got a/b"
            },
            {
                "load 127.0.0.1:1 --offering x --rate 1 --work 0",
                "--work: expected a number from 1.0E-6 to 3600.0, got 0.0"
            },
        };
    }

    @Test(dataProvider = "invalidLoads")
    public void loadRejectsInvalidArgument(String commandLine, String message) {
        harness.assertFails(commandLine, ExitCode.INVALID_INPUT, message);
    }

    @DataProvider
    public Object[][] missingFiles() {
        return new Object[][] {
            {"check /nowhere/at/all", "/nowhere/at/all is not a regular file"},
            {"stand-in nowhere", "nowhere: 1 error"},
            {"scale --size /nowhere/at/all", "--size: /nowhere/at/all is not a regular file"},
            {
                "capacity --check /nowhere --slopes /at/all",
                "--slopes: /at/all is not a regular file"
            },
        };
    }

    @Test(dataProvider = "missingFiles")
    public void namesMissingFile(String commandLine, String message) {
        harness.assertFails(commandLine, ExitCode.INVALID_INPUT, message);
    }

    @DataProvider
    public Object[][] wrongUsages() {
        return new Object[][] {
            {"", "Usage"},
            {"dance", "dance"},
            {"rehearse calm --sead 3", "Unknown option"},
            {"scale --quick --full", "mutually exclusive"},
            {"capacity", "--check"},
        };
    }

    @Test(dataProvider = "wrongUsages")
    public void printsUsageOnWrongUsage(String commandLine, String message) {
        harness.assertFails(commandLine, ExitCode.USAGE_ERROR, message);
    }
}
