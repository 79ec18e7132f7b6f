package wheelroute.kit.process;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Sends signals to processes, and ends those that are left should this one die without a word: one
 * shell, whose standard input is a pipe from here. The JDK has no word for stopping a process, and
 * a shell of its own for each signal would cost more than the signal. When the pipe ends, for
 * whatever reason, all that is kept is killed, also what stands still just then.
 */
public final class ProcessSupervisor implements AutoCloseable {
    /**
     * It outlives a ^C that reaches the whole group: it must see our end, and clear up after it.
     */
    private static final String SCRIPT =
            """
            trap '' INT TERM HUP
            while read -r word pid; do
                kill -"$word" "$pid" 2> /dev/null
            done
            : > "$0/closed"
            for file in "$0"/*.pid; do
                [ -f "$file" ] && read -r pid < "$file" && kill -KILL "$pid" 2> /dev/null
            done
            """;

    /**
     * A process notes its number before it becomes what it is to be, and then looks whether it is
     * too late: either the shell above finds the note, or this finds its mark. Noted from here it
     * could be missed.
     */
    private static final String START_SCRIPT =
            "echo $$ > \"$0/$$.pid\"; [ ! -e \"$0/closed\" ] || exit 1;" + " exec \"$@\"";

    private static final int END_SECONDS = 5;

    private final Path folder;
    private final Process shell;
    private final BufferedWriter commands;

    /** Notes lie in this folder, which is nobody else's. */
    public ProcessSupervisor(Path folder) throws IOException {
        this.folder = folder;
        shell =
                new ProcessBuilder("sh", "-c", SCRIPT, folder.toString())
                        .redirectErrorStream(true)
                        .start();
        commands = shell.outputWriter();
    }

    /** Should this process die first, the one started goes with it. */
    public Process start(ProcessBuilder builder) throws IOException {
        List<String> command =
                new ArrayList<>(List.of("sh", "-c", START_SCRIPT, folder.toString()));
        command.addAll(builder.command());
        Process process = builder.command(command).start();
        // Its number may be another's soon.
        process.onExit().thenRun(() -> folder.resolve(process.pid() + ".pid").toFile().delete());
        return process;
    }

    /** Stands still, or goes on. */
    void setPaused(Process process, boolean begins) throws IOException {
        if (process.isAlive()) {
            signal(begins ? "STOP" : "CONT", process);
        }
    }

    private synchronized void signal(String word, Process about) throws IOException {
        commands.write(word + " " + about.pid() + "\n");
        commands.flush();
    }

    /** Whatever still runs is killed. */
    @Override
    public void close() {
        try {
            commands.close();
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
