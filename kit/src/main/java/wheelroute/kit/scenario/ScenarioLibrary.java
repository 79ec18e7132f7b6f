package wheelroute.kit.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The scenarios that are shipped with the kit. */
public final class ScenarioLibrary {
    /** Names in the order in which they are listed; the first is the default of a rehearsal. */
    public static final List<String> NAMES =
            List.of(
                    "closing-prices",
                    "calm",
                    "failures-overlap",
                    "drain-in-burst",
                    "rolling-deploy",
                    "vanish",
                    "overload",
                    "late-list",
                    "dispatcher-restart",
                    "hundred",
                    "many-kill",
                    "many-pause",
                    "many-cut",
                    "replace",
                    "figures",
                    "crowd",
                    "drawn",
                    "peers-crash",
                    "peers-split",
                    "peers-slow",
                    "peers-rejoin",
                    "cold-thirty");

    private static final String FOLDER = "/wheelroute/kit/scenarios/";

    private ScenarioLibrary() {}

    /**
     * Returns the shipped scenario of this name, or else reads the scenario file at this path.
     *
     * @throws ScenarioException if there is no such scenario or file, or the file is invalid
     */
    public static Scenario find(String nameOrFile) throws ScenarioException {
        if (NAMES.contains(nameOrFile)) {
            return shipped(nameOrFile);
        }
        Path path = Path.of(nameOrFile);
        if (!nameOrFile.contains(".") && !nameOrFile.contains("/") && !Files.exists(path)) {
            throw new ScenarioException(
                    nameOrFile,
                    List.of(
                            "is neither a file nor one of the shipped scenarios: "
                                    + String.join(", ", NAMES)));
        }
        return ScenarioReader.read(path);
    }

    private static Scenario shipped(String name) throws ScenarioException {
        try (InputStream in = ScenarioLibrary.class.getResourceAsStream(FOLDER + name + ".toml")) {
            return ScenarioReader.read(name, new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new ScenarioException(name, List.of("resource cannot be read: " + e));
        }
    }
}
