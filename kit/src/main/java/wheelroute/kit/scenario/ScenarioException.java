package wheelroute.kit.scenario;

import java.util.List;

/** A scenario cannot be used; the message has every fault found, with its line and key. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    ScenarioException(String file, List<String> faults) {
        super(
                file
                        + ": "
                        + faults.size()
                        + (faults.size() == 1 ? " fault" : " faults")
                        + "\n  "
                        + String.join("\n  ", faults));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults, each with its line. */
    public List<String> faults() {
        return faults;
    }
}
