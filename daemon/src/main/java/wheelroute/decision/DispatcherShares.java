package wheelroute.decision;

import wheelroute.decision.slowstart.SlowStartBudget;

/** The part of the limits common to all dispatchers that this dispatcher may use now. */
public interface DispatcherShares extends SlowStartBudget.Shares {
    /**
     * Returns the fraction of a dispatcher's share that this dispatcher may use, from 0 to 1. The
     * fraction of its own share is 1.
     */
    @Override
    double ofDispatcher(int number);

    /** Returns the fraction of all shares together that this dispatcher may use, from 0 to 1. */
    @Override
    double total();

    /**
     * Returns an even division, by which this dispatcher uses its own share and nothing of the
     * others'.
     */
    static DispatcherShares even(Settings settings) {
        return new DispatcherShares() {
            @Override
            public double ofDispatcher(int number) {
                return number == settings.position() ? 1 : 0;
            }

            @Override
            public double total() {
                return 1.0 / Math.max(1, settings.dispatchers());
            }
        };
    }
}
