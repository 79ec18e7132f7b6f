package wheelroute.decision;

import java.util.Map;

/**
 * What a dispatcher has learned, for the process that takes its place. Each array holds samples of
 * three figures: its age in seconds, and two more that the decisions alone know the meaning of.
 */
public record Learned(
        Map<Ids.Worker, OfWorker> workers,
        Map<Ids.Model, OfModel> models,
        Map<Ids.Offering, double[]> hints) {
    /** Runs, waits and failures of one worker. */
    public record OfWorker(double[] runs, double[] waits, double[] failures) {}

    /**
     * How many jobs a worker of the model runs at a time, as far as seen, and the model's runs and
     * waits.
     */
    public record OfModel(int slots, double[] runs, double[] waits) {}
}
