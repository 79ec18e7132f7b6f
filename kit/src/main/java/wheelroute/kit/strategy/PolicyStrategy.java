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
import wheelroute.net.discovery.Backoff;

/** The daemon's own module, and its own pauses between calls for the list. */
public final class PolicyStrategy implements Strategy {
    /** Guards against a wake that the sums of times bring a breath too early. */
    private static final double TIME_TOLERANCE = 1e-6;

    private final Policy policy;
    private final ActionHandler actions;
    private final Backoff backoff;
    private double now;
    private double pollAt = Double.POSITIVE_INFINITY;

    /** Makes the daemon's own decisions. */
    public PolicyStrategy(Settings settings, ActionHandler dispatcher) {
        this.actions = dispatcher;
        policy = new Policy(settings, dispatcher);
        backoff = new Backoff(settings.seed());
    }

    @Override
    public void advanceTo(double time) {
        now = time;
        policy.advanceTo(time);
    }

    @Override
    public void onWakeup() {
        if (now > pollAt - TIME_TOLERANCE) {
            pollAt = Double.POSITIVE_INFINITY;
            actions.watchEndpoints();
        }
        policy.onWakeup();
    }

    @Override
    public void onEndpoints(List<Endpoint> entries, boolean whole) {
        backoff.reset();
        policy.onEndpoints(entries, whole);
    }

    @Override
    public void onEndpointsFailed() {
        double pause = backoff.nextDelay(0);
        pollAt = now + pause;
        actions.scheduleWakeup(pause);
    }

    @Override
    public Handle accept(Request request) {
        RequestHandle handle = policy.accept(request);
        return handle == null ? null : new PolicyHandle(handle);
    }

    private record PolicyHandle(RequestHandle handle) implements Handle {
        @Override
        public boolean isComplete() {
            return handle.isComplete();
        }

        @Override
        public void onClientGone() {
            handle.onClientGone();
        }

        @Override
        public void onStarted(int attempt) {
            handle.onStarted(attempt);
        }

        @Override
        public void onProgress(int attempt, double share) {
            handle.onProgress(attempt, share);
        }

        @Override
        public void onEnded(int attempt, Outcome outcome, boolean over, LoadReport report) {
            handle.onEnded(attempt, outcome, over, report);
        }
    }
}
