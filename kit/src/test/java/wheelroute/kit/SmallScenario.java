package wheelroute.kit;

import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.scenario.ScenarioException;
import wheelroute.kit.scenario.ScenarioReader;

/** A small valid scenario, to which tests add lines. */
public final class SmallScenario {
    /** The file of a scenario with two zones, three request classes and a constant load. */
    public static final String TEXT =
            """
            [run]
            seconds = 5
            cycle = 5
            dispatchers = 1
            [[workers]]
            name = "near"
            count = 2
            slots = 2
            queue = 3
            cold_share = 0.2
            cold_for = 10
            [[workers]]
            name = "far"
            zone = "b"
            count = 2
            [[offerings]]
            name = "free"
            work = 0.05
            quoted = 0.5
            outer = 2
            [[offerings]]
            name = "keyed"
            effect = "deduplicated"
            group = "zone"
            work = 0.05
            quoted = 0.5
            outer = 2
            window = 1
            [[offerings]]
            name = "once"
            effect = "unrepeatable"
            work = 0.05
            quoted = 0.5
            outer = 2
            [[load]]
            rate = 40
            """;

    private SmallScenario() {}

    public static Scenario scenario(String lines) {
        return scenario(lines, 1);
    }

    public static Scenario scenario(String lines, int dispatchers) {
        return scenario(lines, dispatchers, "");
    }

    /** Returns the scenario with lines added at its end and others in its table "run". */
    public static Scenario scenario(String lines, int dispatchers, String runLines) {
        try {
            String text =
                    TEXT.replace(
                            "dispatchers = 1", "dispatchers = " + dispatchers + "\n" + runLines);
            return ScenarioReader.read("small", text + lines);
        } catch (ScenarioException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
