package wheelroute.kit.process;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Measures the scheduler delay of the dispatchers' event loop threads, that is the time during
 * which they were runnable but waited for a core, from the statistics of the kernel. The
 * measurement distinguishes a busy machine from a slow program. Measures nothing on kernels without
 * these statistics. Samples on a thread of its own; thread-safe.
 */
final class SchedulerDelayMonitor implements AutoCloseable {
    private static final int INTERVAL_MILLIS = 100;
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Name of the thread on which a dispatcher does all its work. */
    private static final String EVENT_LOOP_THREAD = "loop";

    /**
     * Index of the schedstat field with the nanoseconds that the thread was runnable but did not
     * run.
     */
    private static final int RUN_DELAY_FIELD = 1;

    private final Supplier<List<Process>> processes;
    private final Thread thread;
    private final Map<Long, Path> schedstatFiles = new HashMap<>();
    private final Map<Long, Long> lastRunDelayNanos = new HashMap<>();
    private final Histogram waitNanos = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
    private volatile boolean isClosed;

    /**
     * Starts to measure.
     *
     * @param processes supplies the processes to measure; called once per interval on the monitor's
     *     thread
     */
    SchedulerDelayMonitor(Supplier<List<Process>> processes) {
        this.processes = processes;
        thread = new Thread(this::sampleUntilClosed, "machine-monitor");
        thread.setDaemon(true);
        thread.start();
    }

    private void sampleUntilClosed() {
        while (!isClosed) {
            try {
                processes.get().forEach(this::sample);
                Thread.sleep(INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sample(Process process) {
        long pid = process.pid();
        try {
            Path schedstat = schedstatFiles.get(pid);
            if (schedstat == null) {
                schedstat = schedstatOfEventLoop(pid);
                if (schedstat == null) {
                    return;
                }
                schedstatFiles.put(pid, schedstat);
            }
            long runDelayNanos =
                    Long.parseLong(Files.readString(schedstat).split(" ")[RUN_DELAY_FIELD]);
            Long previousNanos = lastRunDelayNanos.put(pid, runDelayNanos);
            if (previousNanos != null) {
                record(runDelayNanos - previousNanos);
            }
        } catch (IOException | RuntimeException e) {
            // The process has ended, or the kernel has no such statistics.
            schedstatFiles.remove(pid);
            lastRunDelayNanos.remove(pid);
        }
    }

    private void record(long nanos) {
        synchronized (waitNanos) {
            waitNanos.recordValue(Math.min(MAX_NANOS, Math.max(0, nanos)));
        }
    }

    /**
     * Returns the path of the scheduler statistics of a process's event loop thread; null before
     * the thread has started.
     */
    private static Path schedstatOfEventLoop(long pid) throws IOException {
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks.toList()) {
                if (Files.readString(task.resolve("comm")).strip().equals(EVENT_LOOP_THREAD)) {
                    return task.resolve("schedstat");
                }
            }
        }
        return null;
    }

    /**
     * Returns the 99th percentile of the seconds that a thread waited for a core in one interval.
     */
    double p99() {
        synchronized (waitNanos) {
            return waitNanos.getValueAtPercentile(99) / NANOS_PER_SECOND;
        }
    }

    /** Returns the largest number of seconds that a thread waited for a core in one interval. */
    double max() {
        synchronized (waitNanos) {
            return waitNanos.getMaxValue() / NANOS_PER_SECOND;
        }
    }

    @Override
    public void close() {
        isClosed = true;
        thread.interrupt();
    }
}
