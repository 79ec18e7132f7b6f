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
 * A size to fit, as a file tells it. Times in seconds; parts from 0 to 1.
 *
 * @param dispatchers the numbers of dispatchers to reckon with
 * @param coreShare the part of a core that a dispatcher may spend
 * @param controlBytes a second that a dispatcher may spend on control
 * @param machines set aside for dispatchers
 * @param rackWorkers workers behind one rack or switch
 * @param coresInUse the part of a machine's cores that is planned with
 */
public record DeploymentSize(
        String name,
        double workers,
        double startsPerSecond,
        double running,
        double teams,
        double zones,
        double changesPerDay,
        double inForce,
        List<Double> dispatchers,
        double coreShare,
        double memoryMb,
        double controlBytes,
        double machines,
        double machineCores,
        double machineMemoryMb,
        double coresInUse,
        double failuresPerDay,
        double restartsPerDay,
        double rackWorkers,
        double cutSeconds) {
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
     * Reads a size from a TOML file.
     *
     * @throws IOException if the file cannot be read, or names a key or value that cannot be used
     */
    public static DeploymentSize read(Path file) throws IOException {
        TomlParseResult toml = Toml.parse(Files.readString(file));
        if (toml.hasErrors()) {
            throw new IOException(file + ": " + toml.errors().get(0).toString());
        }
        Set<String> unknown = new TreeSet<>(toml.keySet());
        unknown.removeAll(KEYS);
        if (!unknown.isEmpty()) {
            throw new IOException(
                    file + ": '" + unknown.iterator().next() + "' is no key of a size");
        }
        String name = toml.getString("name");
        if (name == null) {
            throw new IOException(file + ": 'name' is missing");
        }
        return new DeploymentSize(
                name,
                number(toml, "workers", file),
                number(toml, "starts_per_s", file),
                number(toml, "running", file),
                number(toml, "teams", file),
                number(toml, "zones", file),
                number(toml, "changes_per_day", file),
                number(toml, "in_force_s", file),
                dispatchers(toml, file),
                number(toml, "core_share", file),
                number(toml, "memory_mb", file),
                number(toml, "control_bytes_per_s", file),
                number(toml, "machines", file),
                number(toml, "machine_cores", file),
                number(toml, "machine_memory_mb", file),
                number(toml, "cores_in_use", file),
                number(toml, "failures_per_day", file),
                number(toml, "restarts_per_day", file),
                number(toml, "rack_workers", file),
                number(toml, "cut_s", file));
    }

    private static double number(TomlParseResult toml, String key, Path file) throws IOException {
        return above(toml.get(key), key, file);
    }

    private static double above(Object value, String key, Path file) throws IOException {
        if (!(value instanceof Number number) || !(number.doubleValue() > 0)) {
            throw new IOException(
                    file
                            + ": '"
                            + key
                            + "' is "
                            + (value == null ? "missing" : "no number above 0: " + value));
        }
        return number.doubleValue();
    }

    private static List<Double> dispatchers(TomlParseResult toml, Path file) throws IOException {
        List<Double> all = new ArrayList<>();
        if (toml.get("dispatchers") instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                all.add(above(array.get(i), "dispatchers", file));
            }
        }
        if (all.isEmpty()) {
            throw new IOException(file + ": 'dispatchers' is no list of numbers");
        }
        return List.copyOf(all);
    }

    /** Changes of the endpoint list a second, in the mean. */
    public double changesPerSecond() {
        return changesPerDay / 86_400;
    }
}
