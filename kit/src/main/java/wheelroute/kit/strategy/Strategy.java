package wheelroute.kit.strategy;

import java.util.List;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;

/**
 * Makes the decisions of one simulated dispatcher. The calls are those of the dispatcher's policy,
 * so a baseline can take its place.
 */
public interface Strategy {
    /** Creates the strategy of each dispatcher, and a new one at its restart. */
    interface Factory {
        /** Creates a strategy, which acts through the handler. */
        Strategy create(Settings settings, ActionHandler actions);
    }

    /** Sets the time of the events that follow, in seconds. */
    void advanceTo(double time);

    /** The delay of a scheduled wakeup has passed. */
    void onWakeup();

    /**
     * The endpoint list, or a change of it, has arrived.
     *
     * @param isComplete whether it is the complete list
     */
    void onEndpoints(List<Endpoint> endpoints, boolean isComplete);

    /** A call for the endpoint list has failed. */
    void onEndpointsFailed();

    /** Accepts a request; returns null if its request class is unknown. */
    Handle accept(Request request);

    /** An accepted request, until its last attempt has ended. */
    interface Handle {
        /** Whether the request has its final answer and no attempt is in flight. */
        boolean isComplete();

        /** The client has cancelled the request, or its connection is lost. */
        void onClientGone();

        /** The worker has started an attempt. */
        void onStarted(int attempt);

        /** The worker has completed this fraction of an attempt. */
        void onProgress(int attempt, double share);

        /**
         * An attempt has ended.
         *
         * @param isAnswered whether the request has its final answer
         */
        void onEnded(int attempt, Outcome outcome, boolean isAnswered, LoadReport report);
    }
}
