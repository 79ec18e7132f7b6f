package wheelroute.kit.process;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Pauses processes, and kills those that remain when this process ends, even if this process is
 * killed. Runs a shell whose standard input is a pipe from this process. When the pipe is closed,
 * the shell kills all processes that were started by {@link #start}, including paused ones. The
 * shell also sends signals that the JDK cannot send; a separate shell for each signal would be
 * slow. Thread-safe.
 */
public final class ProcessSupervisor implements AutoCloseable {
    /**
     * Script of the shell. The script ignores signals such as that of ^C, which the terminal sends
     * to the whole process group, because the shell must clean up after this signal.
     */
    private static final String SCRIPT =
            """
            trap '' INT TERM HUP
            while read -r signal pid; do
                kill -"$signal" "$pid" 2> /dev/null
            done
            : > "$0/closed"
            for file in "$0"/*.pid; do
                [ -f "$file" ] && read -r pid < "$file" && kill -KILL "$pid" 2> /dev/null
            done
            """;

    /**
     * Script that starts a process. The script writes a file with the process id, then checks
     * whether the supervisor has closed, and then executes the command. Either the closing
     * supervisor finds the file, or this script finds the file that marks the supervisor as closed.
     * If the kit wrote the file with the process id, the supervisor could miss a process.
     */
    private static final String START_SCRIPT =
            "echo $$ > \"$0/$$.pid\"; [ ! -e \"$0/closed\" ] || exit 1;" + " exec \"$@\"";

    private static final int CLOSE_TIMEOUT_SECONDS = 5;

    private final Path directory;
    private final Process shell;
    private final BufferedWriter commands;

    /**
     * Starts the shell.
     *
     * @param directory directory for the files with process ids; no other supervisor may use it
     */
    public ProcessSupervisor(Path directory) throws IOException {
        this.directory = directory;
        shell =
                new ProcessBuilder("sh", "-c", SCRIPT, directory.toString())
                        .redirectErrorStream(true)
                        .start();
        commands = shell.outputWriter();
    }

    /** Starts a process that is killed when this process ends or the supervisor is closed. */
    public Process start(ProcessBuilder builder) throws IOException {
        List<String> command =
                new ArrayList<>(List.of("sh", "-c", START_SCRIPT, directory.toString()));
        command.addAll(builder.command());
        Process process = builder.command(command).start();
        // The system may reuse the id of an ended process, which the shell must not kill then.
        process.onExit().thenRun(() -> directory.resolve(process.pid() + ".pid").toFile().delete());
        return process;
    }

    /** Pauses or resumes a process; does nothing if the process has ended. */
    void setPaused(Process process, boolean isPaused) throws IOException {
        if (process.isAlive()) {
            signal(isPaused ? "STOP" : "CONT", process);
        }
    }

    private synchronized void signal(String name, Process process) throws IOException {
        commands.write(name + " " + process.pid() + "\n");
        commands.flush();
    }

    /** Kills the processes that still run and ends the shell. */
    @Override
    public void close() {
        try {
            commands.close();
        } catch (IOException e) {
            // The pipe is broken, so the shell has ended or is about to end.
            shell.destroy();
        }
        try {
            if (!shell.waitFor(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                shell.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
