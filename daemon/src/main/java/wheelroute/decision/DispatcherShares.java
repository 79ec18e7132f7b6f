package wheelroute.decision;

import wheelroute.decision.slowstart.SlowStartBudget;

/** What this dispatcher may use of what all dispatchers share, at this moment. */
public interface DispatcherShares extends SlowStartBudget.Shares {
    /** The part of another dispatcher's share that may be used here, from 0 to 1; 1 for its own. */
    @Override
    double ofDispatcher(int number);

    /** The part of what all share that may be used here, from 0 to 1. */
    @Override
    double total();

    /** An even division by the settings alone: this dispatcher's own share, and nobody else's. */
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
