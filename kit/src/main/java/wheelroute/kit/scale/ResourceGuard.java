package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import wheelroute.kit.process.RehearsalException;

/**
 * Limits a run to half of the machine's memory and to a maximum number of processes, and detects
 * whether other programs used so much CPU that the results are not valid. Thread-safe.
 */
final class ResourceGuard {
    private static final int MAX_PROCESSES = 300;
    private static final double MAX_MEMORY_FRACTION = 0.5;

    /**
     * Maximum background load as a fraction of all cores; a larger load may have affected the
     * measurements.
     */
    private static final double MAX_BACKGROUND_CPU_FRACTION = 0.15;

    private final Set<MeasuredDaemon> daemons = new HashSet<>();
    private final double maxMemoryMb = MAX_MEMORY_FRACTION * ProcessStats.machineMemoryMb();
    private final double machineCpuSecondsBefore = ProcessStats.machineCpuSeconds();
    private final double ownCpuSecondsBefore = ProcessStats.ownCpuSeconds();
    private final long startedNanos = System.nanoTime();

    /** Records the current CPU times, from which those of the run are counted. */
    ResourceGuard() throws IOException {}

    /**
     * Checks that one more process may be started.
     *
     * @param maxProcessMemoryMb maximum memory of the process
     * @throws RehearsalException if the run would exceed its limits
     */
    synchronized void checkMayStart(double maxProcessMemoryMb)
            throws IOException, RehearsalException {
        if (daemons.size() >= MAX_PROCESSES) {
            throw new RehearsalException("a run may have at most " + MAX_PROCESSES + " processes");
        }
        double totalMb = usedMemoryMb() + maxProcessMemoryMb;
        if (totalMb > maxMemoryMb) {
            throw new RehearsalException(
                    String.format(
                            Locale.ROOT,
                            "the run would use %.0f MB, more than half of the machine's memory"
                                    + " (%.0f MB)",
                            totalMb,
                            maxMemoryMb));
        }
    }

    synchronized void onStarted(MeasuredDaemon daemon) {
        daemons.add(daemon);
    }

    synchronized void onEnded(MeasuredDaemon daemon) {
        daemons.remove(daemon);
    }

    /**
     * Checks that the running processes are within the limits of the run.
     *
     * @throws RehearsalException if a limit is exceeded, or a process has ended unexpectedly
     */
    synchronized void checkLimits() throws IOException, RehearsalException {
        checkMayStart(0);
    }

    private double usedMemoryMb() throws IOException, RehearsalException {
        double sum = ProcessStats.memoryMb(ProcessHandle.current().pid());
        for (MeasuredDaemon daemon : daemons) {
            sum += memoryMbOf(daemon);
        }
        return sum;
    }

    private static double memoryMbOf(MeasuredDaemon daemon) throws RehearsalException {
        try {
            return daemon.memoryMb();
        } catch (IOException e) {
            // The entry in /proc is missing because the process has ended.
            throw new MeasuredDaemon.DaemonExitedException(daemon.logExcerpt(), e);
        }
    }

    /**
     * Returns why the results are not valid, or an empty text. Must be called after all processes
     * have ended, because the CPU time of a child process counts as the run's own only then.
     */
    String notJudgedReason() throws IOException {
        double seconds = (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
        double backgroundCpuSeconds =
                ProcessStats.machineCpuSeconds()
                        - machineCpuSecondsBefore
                        - (ProcessStats.ownCpuSeconds() - ownCpuSecondsBefore);
        double cores = Runtime.getRuntime().availableProcessors();
        return backgroundCpuSeconds <= MAX_BACKGROUND_CPU_FRACTION * seconds * cores
                ? ""
                : String.format(
                        Locale.ROOT,
                        "other processes used %.1f of %.0f cores, at most %.1f are allowed",
                        backgroundCpuSeconds / seconds,
                        cores,
                        MAX_BACKGROUND_CPU_FRACTION * cores);
    }
}
