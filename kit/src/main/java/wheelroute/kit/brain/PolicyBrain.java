package wheelroute.kit.brain;

import java.util.List;
import wheelroute.decision.Dispatcher;
import wheelroute.decision.Listing;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Policy;
import wheelroute.decision.Settings;
import wheelroute.decision.Submission;
import wheelroute.list.Backoff;

/** The daemon's own module, and its own pauses between calls for the list. */
public final class PolicyBrain implements Brain {
    /** Guards against a wake that the sums of times bring a breath too early. */
    private static final double BREATH = 1e-6;

    private final Policy policy;
    private final Dispatcher dispatcher;
    private final Backoff backoff;
    private double now;
    private double askAt = Double.POSITIVE_INFINITY;

    public PolicyBrain(Settings settings, Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
        policy = new Policy(settings, dispatcher);
        backoff = new Backoff(settings.seed());
    }

    @Override
    public void at(double time) {
        now = time;
        policy.at(time);
    }

    @Override
    public void woken() {
        if (now > askAt - BREATH) {
            askAt = Double.POSITIVE_INFINITY;
            dispatcher.watchList();
        }
        policy.woken();
    }

    @Override
    public void listed(List<Listing> entries, boolean whole) {
        backoff.answered();
        policy.listed(entries, whole);
    }

    @Override
    public void listFailed() {
        double pause = backoff.failed(0);
        askAt = now + pause;
        dispatcher.wake(pause);
    }

    @Override
    public Held take(Submission submission) {
        Policy.Handle handle = policy.take(submission);
        return handle == null ? null : new Handled(handle);
    }

    private record Handled(Policy.Handle handle) implements Held {
        @Override
        public boolean isOver() {
            return handle.isOver();
        }

        @Override
        public void gone() {
            handle.gone();
        }

        @Override
        public void started(int launch) {
            handle.started(launch);
        }

        @Override
        public void progressed(int launch, double share) {
            handle.progressed(launch, share);
        }

        @Override
        public void ended(int launch, Outcome outcome, boolean over, LoadReport report) {
            handle.ended(launch, outcome, over, report);
        }
    }
}
