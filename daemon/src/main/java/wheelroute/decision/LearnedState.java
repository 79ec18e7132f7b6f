package wheelroute.decision;

import java.util.Map;

/**
 * What a dispatcher has learned, for the process that takes its place. Each array holds samples of
 * three figures: its age in seconds, and two more that the decisions alone know the meaning of.
 */
public record LearnedState(
        Map<Ids.Worker, WorkerSamples> workers,
        Map<Ids.Model, ModelSamples> models,
        Map<Ids.RequestClass, double[]> estimates) {
    /** Runs, waits and failures of one worker. */
    public record WorkerSamples(double[] runs, double[] waits, double[] failures) {}

    /**
     * How many jobs a worker of the model runs at a time, as far as seen, and the model's runs and
     * waits.
     */
    public record ModelSamples(int slots, double[] runs, double[] waits) {}
}
