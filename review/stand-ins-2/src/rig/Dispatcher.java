package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A dispatcher process that the rig started. */
public final class Dispatcher {
    private static final double READY_SECONDS = 30;

    private final Rig rig;
    private final Process process;
    private final int port;
    private final Path log;

    Dispatcher(Rig rig, Process process, int port, Path log) {
        this.rig = rig;
        this.process = process;
        this.port = port;
        this.log = log;
    }

    public long pid() {
        return process.pid();
    }

    public int port() {
        return port;
    }

    Path log() {
        return log;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public int exitCode() {
        return process.exitValue();
    }

    public boolean waitFor(double seconds) throws InterruptedException {
        return process.waitFor((long) (seconds * 1000), TimeUnit.MILLISECONDS);
    }

    /** Waits as the front does, until `GET /healthz` is answered 200. */
    public Dispatcher awaitReady() {
        double end = rig.now() + READY_SECONDS;
        while (rig.now() < end && isAlive()) {
            try (Client client = new Client(port)) {
                if (client.get("/healthz", 1).status() == 200) {
                    rig.note("process " + pid() + " is ready");
                    return this;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Rig.sleep(0.05);
        }
        throw new Rig.CouldNotRun("process " + pid() + " does not serve; is it built?");
    }

    /** Sends a signal to the program that the line `run` started. */
    public void signal(String name) throws IOException, InterruptedException {
        rig.note("SIG" + name + " to process " + pid());
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + pid()).start().waitFor();
    }

    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
