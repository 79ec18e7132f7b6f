package wheelroute.kit.strategy;

import java.util.List;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;

/**
 * Makes the decisions of one simulated dispatcher. The interface matches that of the dispatcher's
 * policy, so that a baseline can replace the policy.
 */
public interface Strategy {
    /** Creates a strategy at each start of a dispatcher. */
    interface Factory {
        /** Creates a strategy that acts through the handler. */
        Strategy create(Settings settings, ActionHandler actions);
    }

    /** Sets the current time in seconds, which holds for the events that follow. */
    void advanceTo(double time);

    /** Handles a wakeup whose delay has passed. */
    void onWakeup();

    /**
     * Handles the arrival of the endpoint list or of changes to it.
     *
     * @param isComplete whether the endpoints are the complete list
     */
    void onEndpoints(List<Endpoint> endpoints, boolean isComplete);

    /** Handles the failure of a call for the endpoint list. */
    void onEndpointsFailed();

    /** Accepts a request; returns null if its request class is unknown. */
    Handle accept(Request request);

    /** An accepted request until the end of its last attempt. */
    interface Handle {
        /** Whether the request has its final response and no attempt is in flight. */
        boolean isComplete();

        /** Handles a cancellation by the client, or the loss of its connection. */
        void onClientGone();

        /** Handles that the worker has started an attempt. */
        void onStarted(int attempt);

        /** Handles that the worker has completed a fraction of an attempt, from 0 to 1. */
        void onProgress(int attempt, double fraction);

        /**
         * Handles the end of an attempt.
         *
         * @param isAnswered whether the request has its final response
         */
        void onEnded(int attempt, Outcome outcome, boolean isAnswered, LoadReport report);
    }
}
