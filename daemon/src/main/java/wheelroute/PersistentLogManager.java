package wheelroute;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown, so that what is logged while the process
 * drains is not lost.
 *
 * <p>Also selects the formatter of the console handler by the system property {@link
 * #FORMAT_PROPERTY}.
 */
public final class PersistentLogManager extends LogManager {
    /** System property with the log format: {@code json}, or text for any other value or none. */
    static final String FORMAT_PROPERTY = "wheelroute.log-format";

    private static final String FORMATTER = "java.util.logging.ConsoleHandler.formatter";

    @Override
    public void reset() {
        // Called only by the runtime's shutdown hook, which would remove the handlers.
    }

    @Override
    public String getProperty(String name) {
        if (!name.equals(FORMATTER)) {
            return super.getProperty(name);
        }
        return "json".equals(System.getProperty(FORMAT_PROPERTY))
                ? JsonLogFormatter.class.getName()
                : TextLogFormatter.class.getName();
    }
}
