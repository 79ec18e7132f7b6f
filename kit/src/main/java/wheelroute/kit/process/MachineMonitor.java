package wheelroute.kit.process;

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
 * How long the dispatchers' own threads were ready to run and had no core, by the kernel's account:
 * by it the machine's lateness is told from the program's. Where the kernel gives none, nothing is
 * measured.
 */
final class MachineMonitor implements AutoCloseable {
    private static final int EVERY_MILLIS = 100;
    private static final double NANOS = 1e9;
    private static final long MOST_NANOS = 60_000_000_000L;
    private static final String THREAD = "loop";

    private final Supplier<List<Process>> processes;
    private final Thread thread;
    private final Map<Long, Path> accounts = new HashMap<>();
    private final Map<Long, Long> before = new HashMap<>();
    private final Histogram waits = new Histogram(MOST_NANOS, 3);
    private volatile boolean over;

    MachineMonitor(Supplier<List<Process>> processes) {
        this.processes = processes;
        thread = new Thread(this::watch, "machine-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        while (!over) {
            try {
                processes.get().forEach(this::look);
                Thread.sleep(EVERY_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void look(Process process) {
        long pid = process.pid();
        try {
            Path account = accounts.get(pid);
            if (account == null) {
                account = account(pid);
                if (account == null) {
                    return;
                }
                accounts.put(pid, account);
            }
            long waited = Long.parseLong(Files.readString(account).split(" ")[1]);
            Long last = before.put(pid, waited);
            if (last != null) {
                synchronized (waits) {
                    waits.recordValue(Math.min(MOST_NANOS, Math.max(0, waited - last)));
                }
            }
        } catch (IOException | RuntimeException e) {
            // It has gone, or this kernel keeps no such account.
            accounts.remove(pid);
            before.remove(pid);
        }
    }

    /** Of the one thread on which a dispatcher does all its work; null before there is one. */
    private static Path account(long pid) throws IOException {
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks.toList()) {
                if (Files.readString(task.resolve("comm")).strip().equals(THREAD)) {
                    return task.resolve("schedstat");
                }
            }
        }
        return null;
    }

    /** Seconds of each tenth of a second, at the 99th percentile of all of them. */
    double p99() {
        synchronized (waits) {
            return waits.getValueAtPercentile(99) / NANOS;
        }
    }

    double most() {
        synchronized (waits) {
            return waits.getMaxValue() / NANOS;
        }
    }

    @Override
    public void close() {
        over = true;
        thread.interrupt();
    }
}
