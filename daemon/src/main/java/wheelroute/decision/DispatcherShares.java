package wheelroute.decision;

import wheelroute.decision.slowstart.SlowStartBudget;

/** What this dispatcher may use now of the limits that all dispatchers share. */
public interface DispatcherShares extends SlowStartBudget.Shares {
    /**
     * Returns the part of a dispatcher's share that may be used here, from 0 to 1; 1 for its own.
     */
    @Override
    double ofDispatcher(int number);

    /** Returns the part of all shares together that may be used here, from 0 to 1. */
    @Override
    double total();

    /** Returns an even division: this dispatcher's own share, and nothing of the others'. */
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
