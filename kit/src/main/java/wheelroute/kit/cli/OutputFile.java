package wheelroute.kit.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * A file to which a command writes its result. The command opens the file before it does its work,
 * so that a path that cannot be written is reported immediately.
 */
final class OutputFile implements AutoCloseable {
    /** The path of the result; null if the result is discarded. */
    private final Path path;

    private final Path partialFile;

    private OutputFile(Path path, Path partialFile) {
        this.path = path;
        this.partialFile = partialFile;
    }

    /**
     * Creates a partial file in the directory of the path; {@link #write} moves it to the path.
     *
     * @param option the command line option, for error messages
     * @param path null to discard what is written
     */
    static OutputFile open(String option, Path path) throws CommandLineException {
        if (path == null) {
            return new OutputFile(null, null);
        }
        if (Files.isDirectory(path)) {
            throw new CommandLineException(option + ": " + path + " is a directory");
        }
        Path directory = path.toAbsolutePath().getParent();
        if (directory == null || !Files.isDirectory(directory)) {
            throw new CommandLineException(
                    option + ": " + path + " is in a directory that does not exist");
        }
        try {
            // Files.createTempFile would create a file that only its owner can read.
            String name = "." + path.getFileName() + "." + ProcessHandle.current().pid() + ".part";
            Path partialFile = Files.createFile(directory.resolve(name));
            partialFile.toFile().deleteOnExit();
            return new OutputFile(path, partialFile);
        } catch (IOException e) {
            throw new CommandLineException(option + ": " + path + " cannot be written: " + e);
        }
    }

    /**
     * Writes the text to the partial file and then moves it, so that readers see all or nothing.
     */
    void write(String text) throws CommandLineException {
        if (path == null) {
            return;
        }
        try {
            Files.writeString(partialFile, text, StandardCharsets.UTF_8);
            Files.move(partialFile, path, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new CommandLineException(path + " cannot be written: " + e);
        }
    }

    /** Deletes the partial file if nothing was written. */
    @Override
    public void close() {
        if (path == null) {
            return;
        }
        try {
            Files.deleteIfExists(partialFile);
        } catch (IOException e) {
            partialFile.toFile().deleteOnExit();
        }
    }
}
