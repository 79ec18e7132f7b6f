package wheelroute.kit.strategy;

import java.util.List;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Policy;
import wheelroute.decision.Request;
import wheelroute.decision.RequestHandle;
import wheelroute.decision.Settings;
import wheelroute.discovery.Backoff;

/** The daemon's own module, and its own pauses between calls for the list. */
public final class PolicyStrategy implements Strategy {
    /** Guards against a wake that the sums of times bring a breath too early. */
    private static final double BREATH = 1e-6;

    private final Policy policy;
    private final ActionHandler dispatcher;
    private final Backoff backoff;
    private double now;
    private double askAt = Double.POSITIVE_INFINITY;

    public PolicyStrategy(Settings settings, ActionHandler dispatcher) {
        this.dispatcher = dispatcher;
        policy = new Policy(settings, dispatcher);
        backoff = new Backoff(settings.seed());
    }

    @Override
    public void at(double time) {
        now = time;
        policy.advanceTo(time);
    }

    @Override
    public void woken() {
        if (now > askAt - BREATH) {
            askAt = Double.POSITIVE_INFINITY;
            dispatcher.watchEndpoints();
        }
        policy.onWakeup();
    }

    @Override
    public void listed(List<Endpoint> entries, boolean whole) {
        backoff.reset();
        policy.onEndpoints(entries, whole);
    }

    @Override
    public void listFailed() {
        double pause = backoff.nextDelay(0);
        askAt = now + pause;
        dispatcher.scheduleWakeup(pause);
    }

    @Override
    public Handle take(Request submission) {
        RequestHandle handle = policy.accept(submission);
        return handle == null ? null : new PolicyHandle(handle);
    }

    private record PolicyHandle(RequestHandle handle) implements Handle {
        @Override
        public boolean isOver() {
            return handle.isComplete();
        }

        @Override
        public void gone() {
            handle.onClientGone();
        }

        @Override
        public void started(int launch) {
            handle.onStarted(launch);
        }

        @Override
        public void progressed(int launch, double share) {
            handle.onProgress(launch, share);
        }

        @Override
        public void ended(int launch, Outcome outcome, boolean over, LoadReport report) {
            handle.onEnded(launch, outcome, over, report);
        }
    }
}
