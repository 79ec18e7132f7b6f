package wheelroute.kit.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * A file that a rehearsal is to write: tried before the run, so that no run is played for nothing.
 */
final class OutputFile {
    private final Path path;
    private final Path part;

    private OutputFile(Path path, Path part) {
        this.path = path;
        this.part = part;
    }

    /** Null for no path. */
    static OutputFile open(String option, Path path) throws CommandLineException {
        if (path == null) {
            return null;
        }
        Path folder = path.toAbsolutePath().getParent();
        if (Files.isDirectory(path) || folder == null || !Files.isDirectory(folder)) {
            throw new CommandLineException(
                    option
                            + ": "
                            + path
                            + (Files.isDirectory(path)
                                    ? " is a folder"
                                    : " lies in a folder that is not there"));
        }
        try {
            // Not a temporary file of the runtime's: those only their owner can read.
            Path part =
                    Files.createFile(
                            folder.resolve(
                                    "."
                                            + path.getFileName()
                                            + "."
                                            + ProcessHandle.current().pid()
                                            + ".part"));
            part.toFile().deleteOnExit();
            return new OutputFile(path, part);
        } catch (IOException e) {
            throw new CommandLineException(option + ": " + path + " cannot be written: " + e);
        }
    }

    /** Whole or not at all: a reader never sees half a report. */
    void write(String text) throws CommandLineException {
        try {
            Files.writeString(part, text, StandardCharsets.UTF_8);
            Files.move(part, path, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new CommandLineException(path + " cannot be written: " + e);
        }
    }

    void drop() {
        try {
            Files.deleteIfExists(part);
        } catch (IOException e) {
            part.toFile().deleteOnExit();
        }
    }
}
