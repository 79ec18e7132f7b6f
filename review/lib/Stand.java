import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What all cases share: threads, the time limit, the end of all processes, the exit code. */
final class Stand {
    private static final long LIMIT_SECONDS = 115;

    private Stand() {}

    /** The body of a case. */
    interface Case {
        /** Returns whether the rule held. */
        boolean run(RunRecord record, Path root, Path temporary, boolean trouble) throws Exception;
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The socket was closed, or the run is over.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String shorten(String text, int length) {
        return text.length() <= length ? text : text.substring(0, length) + "...";
    }

    /** Runs a case from its folder: exits with 0 if the rule held, 1 if not, 2 if it couldn't run. */
    static void main(Case body) throws Exception {
        Path folder = Path.of("").toAbsolutePath();
        Path root = folder.getParent().getParent();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        RunRecord record = new RunRecord(folder.resolve("record.txt"));
        Path temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> cleanUp(temporary)));
        thread(
                () -> {
                    Thread.sleep(LIMIT_SECONDS * 1000);
                    record.line("case", "RESULT could not run: over the time limit");
                    System.out.println("could not run: over the time limit");
                    System.exit(2);
                });
        int code = 2;
        try {
            record.line("case", "%s the disruption", trouble ? "with" : "without");
            boolean held = body.run(record, root, temporary, trouble);
            code = held ? 0 : 1;
            record.line("case", "RESULT %s", held ? "the rule held" : "the rule was BROKEN");
            System.out.println(held ? "held" : "BROKEN");
        } catch (Exception e) {
            record.line("case", "RESULT could not run: %s", e);
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    private static void cleanUp(Path temporary) {
        Dispatcher.endAll();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // The system removes what is left.
        }
    }
}
