package wheelroute.net.admin;

import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;

/** The state of the service that operators can query. Only for the event loop's thread. */
public interface ServiceStatus {
    /** Returns why this process does not accept clients, or null while it does. */
    String notReadyReason();

    /** Returns the counters, which count from the start of the process. */
    Counters counters();

    /** Returns the current values of the gauges. */
    Gauges gauges();

    /**
     * Returns a line for each known dispatcher, or null without communication between dispatchers.
     */
    String membersText();
}
