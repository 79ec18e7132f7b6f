package wheelroute.kit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;

/**
 * The size of a deployment and the bounds for its dispatchers, as read from a TOML file.
 *
 * @param attemptsPerSecond peak rate of attempts of all dispatchers together
 * @param attemptsInFlight peak number of attempts in flight of all dispatchers together
 * @param changesPerDay mean number of changes of the endpoint list
 * @param inForceSeconds maximum time until a change must be in force at all dispatchers
 * @param dispatchers alternatives for the number of dispatchers
 * @param maxCores maximum CPU use of one dispatcher
 * @param maxMemoryMb maximum memory of one dispatcher
 * @param maxControlBytesPerSecond maximum rate of control data that one dispatcher receives
 * @param machines number of machines that are reserved for dispatchers
 * @param usableCoreFraction fraction of a machine's cores that may be planned with, from 0 to 1
 * @param rackWorkers number of workers behind one rack or switch
 * @param partitionSeconds duration for which regions may be partitioned from each other
 */
public record DeploymentSize(
        String name,
        double workers,
        double attemptsPerSecond,
        double attemptsInFlight,
        double tenants,
        double zones,
        double changesPerDay,
        double inForceSeconds,
        List<Double> dispatchers,
        double maxCores,
        double maxMemoryMb,
        double maxControlBytesPerSecond,
        double machines,
        double machineCores,
        double machineMemoryMb,
        double usableCoreFraction,
        double failuresPerDay,
        double restartsPerDay,
        double rackWorkers,
        double partitionSeconds) {
    static final double SECONDS_PER_DAY = 86_400;

    private static final Set<String> KEYS =
            Set.of(
                    "name",
                    "workers",
                    "starts_per_s",
                    "running",
                    "teams",
                    "zones",
                    "changes_per_day",
                    "in_force_s",
                    "dispatchers",
                    "core_share",
                    "memory_mb",
                    "control_bytes_per_s",
                    "machines",
                    "machine_cores",
                    "machine_memory_mb",
                    "cores_in_use",
                    "failures_per_day",
                    "restarts_per_day",
                    "rack_workers",
                    "cut_s");

    /**
     * Thrown if a file is not a valid deployment size; the message names the file and the problem.
     */
    public static final class InvalidDeploymentSizeException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidDeploymentSizeException(Path file, String problem) {
            super(file + ": " + problem);
        }
    }

    /**
     * Reads a size from a TOML file.
     *
     * @throws InvalidDeploymentSizeException if a key is unknown or missing, or a value is invalid
     * @throws IOException if the file cannot be read
     */
    public static DeploymentSize read(Path file) throws IOException {
        TomlParseResult toml = Toml.parse(Files.readString(file));
        if (toml.hasErrors()) {
            throw new InvalidDeploymentSizeException(file, toml.errors().get(0).toString());
        }
        Set<String> unknown = new TreeSet<>(toml.keySet());
        unknown.removeAll(KEYS);
        if (!unknown.isEmpty()) {
            throw new InvalidDeploymentSizeException(
                    file, "unknown key '" + unknown.iterator().next() + "'");
        }
        String name = toml.getString("name");
        if (name == null) {
            throw new InvalidDeploymentSizeException(file, "'name' is missing");
        }
        return new Reader(toml, file).read(name);
    }

    /** Reads the numbers of one parsed file. */
    private record Reader(TomlParseResult toml, Path file) {
        DeploymentSize read(String name) throws InvalidDeploymentSizeException {
            return new DeploymentSize(
                    name,
                    number("workers"),
                    number("starts_per_s"),
                    number("running"),
                    number("teams"),
                    number("zones"),
                    number("changes_per_day"),
                    number("in_force_s"),
                    dispatchers(),
                    number("core_share"),
                    number("memory_mb"),
                    number("control_bytes_per_s"),
                    number("machines"),
                    number("machine_cores"),
                    number("machine_memory_mb"),
                    number("cores_in_use"),
                    number("failures_per_day"),
                    number("restarts_per_day"),
                    number("rack_workers"),
                    number("cut_s"));
        }

        private double number(String key) throws InvalidDeploymentSizeException {
            return positive(toml.get(key), key);
        }

        private double positive(Object value, String key) throws InvalidDeploymentSizeException {
            if (value == null) {
                throw new InvalidDeploymentSizeException(file, "'" + key + "' is missing");
            }
            if (!(value instanceof Number number) || !(number.doubleValue() > 0)) {
                throw new InvalidDeploymentSizeException(
                        file, "'" + key + "' must be a number above 0: " + value);
            }
            return number.doubleValue();
        }

        private List<Double> dispatchers() throws InvalidDeploymentSizeException {
            List<Double> counts = new ArrayList<>();
            if (toml.get("dispatchers") instanceof TomlArray array) {
                for (int i = 0; i < array.size(); i++) {
                    counts.add(positive(array.get(i), "dispatchers"));
                }
            }
            if (counts.isEmpty()) {
                throw new InvalidDeploymentSizeException(
                        file, "'dispatchers' must be a list of numbers");
            }
            return List.copyOf(counts);
        }
    }

    /** Returns the mean rate of endpoint changes, from the number per day. */
    public double changesPerSecond() {
        return changesPerDay / SECONDS_PER_DAY;
    }
}
