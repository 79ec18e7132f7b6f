package wheelroute.decision;

import wheelroute.limits.SlowStartBudget;

/** What this dispatcher may use of what all dispatchers share, at this moment. */
public interface DispatcherShares extends SlowStartBudget.Shares {
    /** Of that dispatcher's part, from 0 to 1: of its own, or of one that is not there. */
    @Override
    double ofDispatcher(int number);

    /** Of all, from 0 to 1. */
    @Override
    double total();

    /** An even division by the settings alone: its own part, and nobody else's. */
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
