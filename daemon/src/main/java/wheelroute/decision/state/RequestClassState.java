package wheelroute.decision.state;

import wheelroute.decision.Settings;
import wheelroute.decision.estimates.CostEstimates;

/** A request class: its settings, and how accurate its clients' cost estimates are. */
public final class RequestClassState {
    private static final int ESTIMATE_COUNT = 64;

    private final Settings.RequestClass settings;
    private final double value;
    private final CostEstimates estimates = new CostEstimates(ESTIMATE_COUNT);

    RequestClassState(Settings.RequestClass settings) {
        this.settings = settings;
        value = settings.priorityWeight() > 0 ? settings.priorityWeight() : 1;
    }

    /** Returns the settings of this class. */
    public Settings.RequestClass settings() {
        return settings;
    }

    /** Returns the priority weight, or 1 where the settings give none. */
    public double value() {
        return value;
    }

    /** Returns the record that corrects the clients' cost estimates. */
    public CostEstimates estimates() {
        return estimates;
    }
}
