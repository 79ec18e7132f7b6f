package wheelroute.kit.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Deletes the temporary directories of runs. */
public final class TemporaryDirectory {
    private TemporaryDirectory() {}

    /**
     * Deletes a directory with all its contents.
     *
     * @throws IOException if a file cannot be deleted; some may have been deleted then
     */
    public static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
