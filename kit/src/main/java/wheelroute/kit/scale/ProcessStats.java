package wheelroute.kit.scale;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Reads the kernel's statistics of processes and the machine from {@code /proc}. */
final class ProcessStats {
    private static final Path PROC = Path.of("/proc");
    private static final double KB_PER_MB = 1024;

    /** The kernel's USER_HZ, which has this value on all Linux platforms that Java supports. */
    private static final double TICKS_PER_SECOND = 100;

    /**
     * Index of utime in /proc/PID/stat, counted from the field after the name; stime, cutime and
     * cstime follow.
     */
    private static final int FIRST_CPU_FIELD = 11;

    private static final int CPU_FIELDS = 4;

    // The columns of the first line of /proc/stat are: user nice system idle iowait irq softirq
    // steal.
    private static final int IDLE_COLUMN = 3;
    private static final int IOWAIT_COLUMN = 4;
    private static final int CPU_COLUMNS = 8;

    private ProcessStats() {}

    /** Returns the CPU seconds of each thread of a process, by thread id. */
    static Map<String, Double> threadCpuSeconds(long pid) throws IOException {
        Map<String, Double> secondsById = new HashMap<>();
        try (Stream<Path> tasks = Files.list(PROC.resolve(pid + "/task"))) {
            for (Path task : tasks.toList()) {
                try {
                    String nanos = Files.readString(task.resolve("schedstat")).split(" ")[0];
                    secondsById.put(
                            task.getFileName().toString(),
                            Long.parseLong(nanos) / NANOS_PER_SECOND);
                } catch (IOException e) {
                    // The thread has ended since the directory was listed.
                    secondsById.remove(task.getFileName().toString());
                }
            }
        }
        return secondsById;
    }

    /** Returns the resident set size of a process, in MB. */
    static double memoryMb(long pid) throws IOException {
        return kilobytes(PROC.resolve(pid + "/status"), "VmRSS:") / KB_PER_MB;
    }

    /** Returns the physical memory of the machine, in MB. */
    static double machineMemoryMb() throws IOException {
        return kilobytes(PROC.resolve("meminfo"), "MemTotal:") / KB_PER_MB;
    }

    private static double kilobytes(Path file, String field) throws IOException {
        List<String> lines = Files.readAllLines(file);
        for (String line : lines) {
            if (line.startsWith(field)) {
                return Double.parseDouble(line.substring(field.length()).strip().split(" ")[0]);
            }
        }
        throw new MissingStatisticException(file, field);
    }

    /** Returns the CPU seconds of this process and its children that have ended. */
    static double ownCpuSeconds() throws IOException {
        String stat = Files.readString(PROC.resolve("self/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double sum = 0;
        for (int i = FIRST_CPU_FIELD; i < FIRST_CPU_FIELD + CPU_FIELDS; i++) {
            sum += Long.parseLong(fields[i]) / TICKS_PER_SECOND;
        }
        return sum;
    }

    /**
     * Returns the CPU seconds for which the cores of the machine were busy since boot, summed up.
     */
    static double machineCpuSeconds() throws IOException {
        String[] fields = Files.readAllLines(PROC.resolve("stat")).get(0).strip().split(" +");
        double sum = 0;
        for (int i = 0; i < CPU_COLUMNS; i++) {
            boolean isBusy = i != IDLE_COLUMN && i != IOWAIT_COLUMN;
            sum += isBusy ? Long.parseLong(fields[i + 1]) / TICKS_PER_SECOND : 0;
        }
        return sum;
    }

    /** Thrown if a file in {@code /proc} lacks a field, e.g. because the process is a zombie. */
    static final class MissingStatisticException extends IOException {
        private static final long serialVersionUID = 1L;

        MissingStatisticException(Path file, String field) {
            super(file + " has no field " + field);
        }
    }
}
