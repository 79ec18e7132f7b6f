package wheelroute.kit.scale;

import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import wheelroute.kit.process.RehearsalException;

/**
 * Keeps a run within half of the machine's memory and 300 processes, and tells whether others were
 * busy there.
 */
final class ResourceGuard {
    static final int MOST_PROCESSES = 300;
    private static final double MOST_MEMORY = 0.5;

    /** Of the machine's cores; beyond it what others did may be in what was measured. */
    private static final double MOST_OTHERS = 0.15;

    private static final double NANOS = 1e9;

    private final Set<MeasuredDaemon> daemons = new HashSet<>();
    private final double mostMemory = MOST_MEMORY * ProcessStats.machineMemory();
    private final double machineBefore = ProcessStats.machine();
    private final double ownBefore = ProcessStats.own();
    private final long begun = System.nanoTime();

    ResourceGuard() throws IOException {}

    /** Before it is started: what it may take at most, in megabytes, beside all that runs. */
    synchronized void mayStart(double megabytes) throws IOException, RehearsalException {
        if (daemons.size() >= MOST_PROCESSES) {
            throw new RehearsalException("a run may have " + MOST_PROCESSES + " processes");
        }
        double sum = memory() + megabytes;
        if (sum > mostMemory) {
            throw new RehearsalException(
                    String.format(
                            Locale.ROOT,
                            "the run would take %.0f MB, and may take %.0f, half of the machine's",
                            sum,
                            mostMemory));
        }
    }

    synchronized void started(MeasuredDaemon daemon) {
        daemons.add(daemon);
    }

    synchronized void ended(MeasuredDaemon daemon) {
        daemons.remove(daemon);
    }

    /** While it runs. */
    synchronized void look() throws IOException, RehearsalException {
        mayStart(0);
    }

    private double memory() throws IOException, RehearsalException {
        double sum = ProcessStats.memory(ProcessHandle.current().pid());
        for (MeasuredDaemon daemon : daemons) {
            sum += memoryOf(daemon);
        }
        return sum;
    }

    private static double memoryOf(MeasuredDaemon daemon) throws RehearsalException {
        try {
            return daemon.memory();
        } catch (IOException e) {
            // The kernel has no account of what has ended.
            throw new RehearsalException("a daemon ended unasked: " + daemon.lastLines());
        }
    }

    /** Once all processes have ended: why nothing may be concluded, or empty. */
    String whyNotJudged() throws IOException {
        double seconds = (System.nanoTime() - begun) / NANOS;
        double others = ProcessStats.machine() - machineBefore - (ProcessStats.own() - ownBefore);
        double cores = Runtime.getRuntime().availableProcessors();
        return others <= MOST_OTHERS * seconds * cores
                ? ""
                : String.format(
                        Locale.ROOT,
                        "others took %.1f of the machine's %.0f cores, and may take %.1f",
                        others / seconds,
                        cores,
                        MOST_OTHERS * cores);
    }
}
