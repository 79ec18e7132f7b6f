package wheelroute.net.admin;

import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;

/** The status of the service, which operators can query. Confined to the event loop's thread. */
public interface ServiceStatus {
    /**
     * Returns the reason why this process does not accept clients, or null while it accepts
     * clients.
     */
    String notReadyReason();

    /** Returns the counters, which are 0 at the start of the process. */
    Counters counters();

    /** Returns the current values of the gauges. */
    Gauges gauges();

    /**
     * Returns one line for each known dispatcher, or null if dispatchers do not communicate with
     * each other.
     */
    String membersText();
}
