package wheelroute.decision.state;

import wheelroute.decision.DispatcherShares;
import wheelroute.decision.Settings;

/**
 * The dispatchers that send to the same workers: their number, the number of processes that act as
 * this dispatcher, and this dispatcher's portion of the limits that all dispatchers share.
 */
public final class DispatcherGroup {
    private final int dispatcherCount;
    private DispatcherShares shares;
    private int processCount = 1;

    /** Creates the group from the settings, with the shared limits divided evenly. */
    public DispatcherGroup(Settings settings) {
        dispatcherCount = Math.max(1, settings.dispatchers());
        shares = DispatcherShares.even(settings);
    }

    /** Returns this dispatcher's portion of the limits that all dispatchers share. */
    public DispatcherShares shares() {
        return shares;
    }

    /** Replaces this dispatcher's portion of the shared limits. */
    public void setShares(DispatcherShares newShares) {
        shares = newShares;
    }

    /** Returns how many processes act as this dispatcher, for example 2 during a handover. */
    public int processCount() {
        return processCount;
    }

    /** Sets how many processes act as this dispatcher; values below 1 count as 1. */
    public void setProcessCount(int count) {
        processCount = Math.max(1, count);
    }

    /**
     * Returns how many processes send to the workers, assuming that every dispatcher has as many
     * processes as this one.
     */
    public int senderCount() {
        return processCount * dispatcherCount;
    }
}
