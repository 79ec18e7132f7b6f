package wheelroute.decision;

import java.util.Map;
import wheelroute.decision.estimates.SampleWindow;
import wheelroute.decision.estimates.WorkerStatistics;

/**
 * The statistics that a dispatcher has learned, for the process that replaces it. Each array holds
 * the samples of one {@link SampleWindow} as triples of the age in seconds and the two values of
 * that window.
 */
public record LearnedState(
        Map<Ids.Worker, WorkerSamples> workers,
        Map<Ids.Model, ModelSamples> models,
        Map<Ids.RequestClass, double[]> estimates) {
    /** The samples of runs, waits and failures of one worker, as in {@link WorkerStatistics}. */
    public record WorkerSamples(double[] runs, double[] waits, double[] failures) {}

    /**
     * The largest number of slots seen at a worker of the model, and the samples of runs and waits
     * of the model.
     */
    public record ModelSamples(int slots, double[] runs, double[] waits) {}
}
