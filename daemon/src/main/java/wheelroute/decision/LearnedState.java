package wheelroute.decision;

import java.util.Map;
import wheelroute.decision.estimates.SampleWindow;
import wheelroute.decision.estimates.WorkerStatistics;

/**
 * What a dispatcher has learned, for the process that replaces it. Each array holds the samples of
 * one {@link SampleWindow} as triples: the age in seconds, and the two figures of that window.
 */
public record LearnedState(
        Map<Ids.Worker, WorkerSamples> workers,
        Map<Ids.Model, ModelSamples> models,
        Map<Ids.RequestClass, double[]> estimates) {
    /** Runs, waits and failures of one worker, as in {@link WorkerStatistics}. */
    public record WorkerSamples(double[] runs, double[] waits, double[] failures) {}

    /** The most slots seen at a worker of the model, and the model's runs and waits. */
    public record ModelSamples(int slots, double[] runs, double[] waits) {}
}
