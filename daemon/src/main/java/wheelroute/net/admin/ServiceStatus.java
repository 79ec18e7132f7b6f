package wheelroute.net.admin;

import wheelroute.net.metrics.Counters;
import wheelroute.net.metrics.Gauges;

/** What operators may ask for. Only for the event loop's thread. */
public interface ServiceStatus {
    /** Why this process does not accept clients; null while it does. */
    String notReadyReason();

    /** The counters since the start. */
    Counters counters();

    /** The gauges at this moment. */
    Gauges gauges();

    /** A line for each known dispatcher; null where dispatchers are not to know each other. */
    String membersText();
}
