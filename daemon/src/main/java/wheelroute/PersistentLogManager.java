package wheelroute;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown, so that what is logged while the process
 * drains is not lost.
 *
 * <p>Also selects the formatter of the console handler by the system property {@link #FORMAT}.
 */
public final class PersistentLogManager extends LogManager {
    /** System property with the log format: {@code json}, or text for any other value or none. */
    static final String FORMAT = "wheelroute.log-format";

    private static final String FORMATTER = "java.util.logging.ConsoleHandler.formatter";

    @Override
    public void reset() {
        // Called by the runtime's shutdown hook only, at which the handlers must stay.
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
