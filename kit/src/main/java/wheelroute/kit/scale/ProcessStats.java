package wheelroute.kit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What the kernel says of processes and of the machine; all from {@code /proc}, from outside. */
final class ProcessStats {
    private static final Path PROC = Path.of("/proc");
    private static final double NANOS = 1e9;
    private static final double KILO = 1024;

    /** The kernel tells times in these, whatever its own clock is. */
    private static final double TICKS = 100;

    /**
     * Of the fields behind a process's name: its own time, and that of its children that have
     * ended.
     */
    private static final int OWN_TIME = 11;

    private static final int TIMES = 4;

    /** User, nice, system, idle, waiting, interrupts, soft interrupts, stolen. */
    private static final int IDLE = 3;

    private static final int WAITING = 4;
    private static final int KINDS = 8;

    private ProcessStats() {}

    /** Seconds of processor time that each of its threads has had, by their numbers. */
    static Map<String, Double> threads(long pid) throws IOException {
        Map<String, Double> all = new HashMap<>();
        try (Stream<Path> tasks = Files.list(PROC.resolve(pid + "/task"))) {
            for (Path task : tasks.toList()) {
                try {
                    all.put(
                            task.getFileName().toString(),
                            Long.parseLong(
                                            Files.readString(task.resolve("schedstat"))
                                                    .split(" ")[0])
                                    / NANOS);
                } catch (IOException e) {
                    // It has ended between the two looks.
                    all.remove(task.getFileName().toString());
                }
            }
        }
        return all;
    }

    /** Megabytes that it has in memory. */
    static double memory(long pid) throws IOException {
        return line(Files.readAllLines(PROC.resolve(pid + "/status")), "VmRSS:") / KILO;
    }

    /** Megabytes that the machine has. */
    static double machineMemory() throws IOException {
        return line(Files.readAllLines(PROC.resolve("meminfo")), "MemTotal:") / KILO;
    }

    private static double line(List<String> lines, String name) throws IOException {
        for (String line : lines) {
            if (line.startsWith(name)) {
                return Double.parseDouble(line.substring(name.length()).strip().split(" ")[0]);
            }
        }
        throw new IOException("the kernel does not tell " + name);
    }

    /** Seconds of this process and of all its children that have ended. */
    static double own() throws IOException {
        String stat = Files.readString(PROC.resolve("self/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double sum = 0;
        for (int i = OWN_TIME; i < OWN_TIME + TIMES; i++) {
            sum += Long.parseLong(fields[i]) / TICKS;
        }
        return sum;
    }

    /** Seconds in which the machine's cores were busy, whoever with. */
    static double machine() throws IOException {
        String[] fields = Files.readAllLines(PROC.resolve("stat")).get(0).strip().split(" +");
        double sum = 0;
        for (int i = 0; i < KINDS; i++) {
            sum += i == IDLE || i == WAITING ? 0 : Long.parseLong(fields[i + 1]) / TICKS;
        }
        return sum;
    }
}
