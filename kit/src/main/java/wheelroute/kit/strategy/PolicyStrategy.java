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

/** The dispatcher's own policy, with the daemon's backoff after failed calls to discovery. */
public final class PolicyStrategy implements Strategy {
    /** Maximum time by which rounding may let a wakeup come before its scheduled time. */
    private static final double ROUNDING_TOLERANCE_SECONDS = 1e-6;

    private final Policy policy;
    private final ActionHandler actions;
    private final Backoff backoff;
    private double now;
    private double nextPollAt = Double.POSITIVE_INFINITY;

    /** Creates the policy of one dispatcher, which acts through the handler. */
    public PolicyStrategy(Settings settings, ActionHandler actions) {
        this.actions = actions;
        policy = new Policy(settings, actions);
        backoff = new Backoff(settings.seed());
    }

    @Override
    public void advanceTo(double time) {
        now = time;
        policy.advanceTo(time);
    }

    @Override
    public void onWakeup() {
        if (now > nextPollAt - ROUNDING_TOLERANCE_SECONDS) {
            nextPollAt = Double.POSITIVE_INFINITY;
            actions.watchEndpoints();
        }
        policy.onWakeup();
    }

    @Override
    public void onEndpoints(List<Endpoint> endpoints, boolean isComplete) {
        backoff.reset();
        policy.onEndpoints(endpoints, isComplete);
    }

    @Override
    public void onEndpointsFailed() {
        double delaySeconds = backoff.nextDelay(0);
        nextPollAt = now + delaySeconds;
        actions.scheduleWakeup(delaySeconds);
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
        public void onProgress(int attempt, double fraction) {
            handle.onProgress(attempt, fraction);
        }

        @Override
        public void onEnded(int attempt, Outcome outcome, boolean isAnswered, LoadReport report) {
            handle.onEnded(attempt, outcome, isAnswered, report);
        }
    }
}
