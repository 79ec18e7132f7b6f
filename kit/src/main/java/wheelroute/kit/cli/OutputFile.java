package wheelroute.kit.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * A file to which a command writes its result. It is opened before the command runs, so that a path
 * that cannot be written is reported at once.
 */
final class OutputFile implements AutoCloseable {
    /** Null for no file: what is written is dropped. */
    private final Path path;

    private final Path partialFile;

    private OutputFile(Path path, Path partialFile) {
        this.path = path;
        this.partialFile = partialFile;
    }

    /**
     * Opens a file beside the path, which replaces it once it is written.
     *
     * @param path null for no file
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
            // Not a temporary file of the JDK's: only its owner could read it.
            String name = "." + path.getFileName() + "." + ProcessHandle.current().pid() + ".part";
            Path partialFile = Files.createFile(directory.resolve(name));
            partialFile.toFile().deleteOnExit();
            return new OutputFile(path, partialFile);
        } catch (IOException e) {
            throw new CommandLineException(option + ": " + path + " cannot be written: " + e);
        }
    }

    /** Writes the whole text at once: a reader never sees a part of it. */
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

    /** Deletes the partial file, if nothing was written. */
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
