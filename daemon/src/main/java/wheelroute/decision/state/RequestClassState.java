package wheelroute.decision.state;

import wheelroute.decision.Settings;
import wheelroute.decision.estimates.CostEstimates;

/** The settings of one request class and the measured accuracy of its clients' cost estimates. */
public final class RequestClassState {
    private static final int ESTIMATE_SAMPLE_COUNT = 64;

    private final Settings.RequestClass settings;
    private final double priorityWeight;
    private final CostEstimates estimates = new CostEstimates(ESTIMATE_SAMPLE_COUNT);

    RequestClassState(Settings.RequestClass settings) {
        this.settings = settings;
        priorityWeight = settings.priorityWeight() > 0 ? settings.priorityWeight() : 1;
    }

    public Settings.RequestClass settings() {
        return settings;
    }

    /** Returns the priority weight of the class; 1 if the settings have none above 0. */
    public double priorityWeight() {
        return priorityWeight;
    }

    /** Returns the corrections of the cost estimates that clients send for this class. */
    public CostEstimates estimates() {
        return estimates;
    }
}
