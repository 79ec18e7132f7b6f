package wheelroute.kit.scenario;

import java.util.List;

/**
 * Thrown for a scenario that is invalid or cannot be read. The message lists every error that was
 * found, with its line and key.
 */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    ScenarioException(String file, List<String> errors) {
        super(
                file
                        + ": "
                        + errors.size()
                        + (errors.size() == 1 ? " error" : " errors")
                        + "\n  "
                        + String.join("\n  ", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns the errors; each begins with its line, unless the file could not be read. */
    public List<String> errors() {
        return errors;
    }
}
