package wheelroute;

import java.util.logging.LogManager;

/**
 * Keeps its handlers when the process is told to end: what is logged while it drains must not be
 * lost.
 */
public final class PersistentLogManager extends LogManager {
    /** The system property that names how entries are written; text where it is not set. */
    static final String FORMAT = "wheelroute.log-format";

    private static final String FORMATTER = "java.util.logging.ConsoleHandler.formatter";

    @Override
    public void reset() {
        // The process's end calls this; nothing else here does.
    }

    @Override
    public String getProperty(String name) {
        if (!name.equals(FORMATTER)) {
            return super.getProperty(name);
        }
        return "json".equals(System.getProperty(FORMAT))
                ? JsonLogFormatter.class.getName()
                : TextLogFormatter.class.getName();
    }
}
