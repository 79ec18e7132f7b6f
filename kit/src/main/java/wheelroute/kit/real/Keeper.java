package wheelroute.kit.real;

import java.io.BufferedWriter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Sends signals to processes, and ends those that are left should this one die without a word: one shell,
 * whose standard input is a pipe from here. The JDK has no word for stopping a process, and a shell of its
 * own for each signal would cost more than the signal. When the pipe ends, for whatever reason, all that is
 * kept is killed, also what stands still just then.
 */
final class Keeper implements AutoCloseable {
    /** It outlives a ^C that reaches the whole group: it must see our end, and clear up after it. */
    private static final String SCRIPT = """
            trap '' INT TERM HUP
            kept=
            while read -r word pid; do
                case $word in
                    keep) kept="$kept $pid" ;;
                    drop)
                        rest=
                        for one in $kept; do [ "$one" = "$pid" ] || rest="$rest $one"; done
                        kept=$rest ;;
                    *) kill -"$word" "$pid" 2> /dev/null ;;
                esac
            done
            for one in $kept; do kill -KILL "$one" 2> /dev/null; done
            """;
    private static final int END_SECONDS = 5;

    private final Process shell;
    private final BufferedWriter words;

    Keeper() throws IOException {
        shell = new ProcessBuilder("sh", "-c", SCRIPT).redirectErrorStream(true).start();
        words = shell.outputWriter();
    }

    /** Should this process die first, that one goes with it. */
    void keep(Process process) throws IOException {
        say("keep", process);
        // Its number may be another's soon.
        process.onExit().thenRun(() -> {
            try {
                say("drop", process);
            } catch (IOException e) {
                // The shell has gone, and what it was kept for with it.
                return;
            }
        });
    }

    /** Stands still, or goes on. */
    void pause(Process process, boolean begins) throws IOException {
        if (process.isAlive()) {
            say(begins ? "STOP" : "CONT", process);
        }
    }

    private synchronized void say(String word, Process about) throws IOException {
        words.write(word + " " + about.pid() + "\n");
        words.flush();
    }

    /** The number of the shell, for those who look what is left of a run. */
    long pid() {
        return shell.pid();
    }

    /** Whatever is kept still is killed. */
    @Override
    public void close() {
        try {
            words.close();
        } catch (IOException e) {
            // It ends all the same: its pipe has ended.
            shell.destroy();
        }
        try {
            if (!shell.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                shell.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
