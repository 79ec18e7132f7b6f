package wheelroute.kit.cli;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Arguments that cannot be used: the exit code, and the message that names them. */
public class CommandLineTest {
    private final CommandLineHarness harness = new CommandLineHarness();

    @DataProvider
    public Object[][] invalidRehearsals() {
        return new Object[][] {
            {"rehearse nowhere", "nowhere: 1 error"},
            {"rehearse ./nowhere.toml", "cannot be read"},
            {"rehearse calm calm", "calm is named twice"},
            {"rehearse calm --clock sun", "--clock: sun is none of virtual, real, both"},
            {"rehearse hundred --clock real", "hundred cannot run on the real clock"},
            {"rehearse calm --clock real --baselines", "on the virtual clock only"},
            {"rehearse calm --seed x", "--seed: x is no whole number"},
            {"rehearse calm --seed 9..2", "--seed: 9..2 is no range"},
            {"rehearse calm --seconds 0.5", "--seconds: 0.5 is under 1"},
            {"rehearse calm --cores 0", "--cores: 0 is under 1"},
            {"rehearse calm --json /nowhere/at/all.json", "in a directory that does not exist"},
            {"rehearse calm --html /", "--html: / is a directory"},
            {"rehearse calm --variant as-built", "as-built is named twice"},
        };
    }

    @Test(dataProvider = "invalidRehearsals")
    public void rehearseRejectsInvalidArgument(String commandLine, String message) {
        harness.assertFails(commandLine, Exit.BAD_INPUT, message);
    }

    @DataProvider
    public Object[][] invalidLoads() {
        return new Object[][] {
            {"load 8081 --offering x --rate 1", "8081 is no address"},
            {"load 192.0.2.1:80 --offering x --rate 1", "is no address of this machine"},
            {"load 127.0.0.1:1 --offering x", "one of them must be above 0"},
            {
                "load 127.0.0.1:1 --offering a/b --rate 1",
                "--offering: a/b cannot be part of a path"
            },
            {"load 127.0.0.1:1 --offering x --rate 1 --work 0", "--work: 0.0 is not from"},
        };
    }

    @Test(dataProvider = "invalidLoads")
    public void loadRejectsInvalidArgument(String commandLine, String message) {
        harness.assertFails(commandLine, Exit.BAD_INPUT, message);
    }

    @DataProvider
    public Object[][] missingFiles() {
        return new Object[][] {
            {"check /nowhere/at/all", "/nowhere/at/all is no file"},
            {"stand-in nowhere", "nowhere: 1 error"},
            {"scale --size /nowhere/at/all", "--size: /nowhere/at/all is no file"},
            {"capacity --check /nowhere --slopes /at/all", "--slopes: /at/all is no file"},
        };
    }

    @Test(dataProvider = "missingFiles")
    public void namesMissingFile(String commandLine, String message) {
        harness.assertFails(commandLine, Exit.BAD_INPUT, message);
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
        harness.assertFails(commandLine, Exit.BAD_USAGE, message);
    }
}
