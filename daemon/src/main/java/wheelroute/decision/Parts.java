package wheelroute.decision;

import wheelroute.limits.ColdBudget;

/** What this dispatcher may use of what all dispatchers share, at this moment. */
public interface Parts extends ColdBudget.Held {
    /** Of that dispatcher's part, from 0 to 1: of its own, or of one that is not there. */
    @Override
    double of(int number);

    /** Of all, from 0 to 1. */
    @Override
    double whole();

    /** An even division by the settings alone: its own part, and nobody else's. */
    static Parts even(Settings settings) {
        return new Parts() {
            @Override
            public double of(int number) {
                return number == settings.position() ? 1 : 0;
            }

            @Override
            public double whole() {
                return 1.0 / Math.max(1, settings.dispatchers());
            }
        };
    }
}
