package wheelroute.net.admin;

import wheelroute.net.Counters;
import wheelroute.net.Gauges;

/** What the door may ask. */
public interface ServiceStatus {
    /** Null while this process takes clients; else why it does not. */
    String notReadyReason();

    Counters counters();

    Gauges gauges();

    /** A line for each dispatcher that is known; null where none is to be. */
    String membersText();
}
