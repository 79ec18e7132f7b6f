package wheelroute;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown, so that messages logged while the process
 * drains are not lost.
 *
 * <p>Also selects the formatter of the console handler by the system property {@link
 * #FORMAT_PROPERTY}.
 */
public final class PersistentLogManager extends LogManager {
    /**
     * Name of the system property that selects the log format: JSON for the value {@code json},
     * text for any other value or none.
     */
    static final String FORMAT_PROPERTY = "wheelroute.log-format";

    private static final String FORMATTER_PROPERTY = "java.util.logging.ConsoleHandler.formatter";

    @Override
    public void reset() {
        // Only the runtime's shutdown hook calls this method. The inherited method would remove the
        // handlers.
    }

    @Override
    public String getProperty(String name) {
        if (!name.equals(FORMATTER_PROPERTY)) {
            return super.getProperty(name);
        }
        return "json".equals(System.getProperty(FORMAT_PROPERTY))
                ? JsonLogFormatter.class.getName()
                : TextLogFormatter.class.getName();
    }
}
