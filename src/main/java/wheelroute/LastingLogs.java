package wheelroute;

import java.util.logging.LogManager;

/** Keeps its handlers when the process is told to end: what is logged while it drains must not be lost. */
public final class LastingLogs extends LogManager {
    @Override
    public void reset() {
        // The process's end calls this; nothing else here does.
    }
}
