package wheelroute.decision;

import java.util.Map;
import wheelroute.decision.estimates.SampleWindow;
import wheelroute.decision.estimates.WorkerStatistics;

/**
 * What a dispatcher has learned, for the process that replaces it. Each array holds triples: a
 * sample's age in seconds, and two figures whose meaning is that of the window they came from (see
 * {@link SampleWindow}).
 */
public record LearnedState(
        Map<Ids.Worker, WorkerSamples> workers,
        Map<Ids.Model, ModelSamples> models,
        Map<Ids.RequestClass, double[]> estimates) {
    /** Runs, waits and failures of one worker, as in {@link WorkerStatistics}. */
    public record WorkerSamples(double[] runs, double[] waits, double[] failures) {}

    /** Slots of a worker of the model, as far as seen, and the model's runs and waits. */
    public record ModelSamples(int slots, double[] runs, double[] waits) {}
}
