package wheelroute.decision.state;

import wheelroute.decision.DispatcherShares;
import wheelroute.decision.Settings;

/**
 * All dispatchers that send to the same workers: how many processes they are, and what this one may
 * use of the limits that all of them share.
 */
public final class DispatcherGroup {
    private final int dispatcherCount;
    private DispatcherShares shares;
    private int processCount = 1;

    /** Creates the group that the settings describe, with its limits divided evenly. */
    public DispatcherGroup(Settings settings) {
        dispatcherCount = Math.max(1, settings.dispatchers());
        shares = DispatcherShares.even(settings);
    }

    /** Returns what this dispatcher may use of the limits that all dispatchers share. */
    public DispatcherShares shares() {
        return shares;
    }

    /** Replaces this dispatcher's shares. */
    public void setShares(DispatcherShares newShares) {
        shares = newShares;
    }

    /** Returns how many processes act as this one dispatcher: 2 while one replaces another. */
    public int processCount() {
        return processCount;
    }

    /** Sets how many processes act as this one dispatcher; less than 1 counts as 1. */
    public void setProcessCount(int count) {
        processCount = Math.max(1, count);
    }

    /** Returns how many processes send to the workers if every dispatcher has as many as this. */
    public int senderCount() {
        return processCount * dispatcherCount;
    }
}
