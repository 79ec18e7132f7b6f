package wheelroute.kit.strategy;

import java.util.List;
import wheelroute.decision.ActionHandler;
import wheelroute.decision.Endpoint;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;

/** The decisions of one dispatcher, as the daemon's module is spoken to. */
public interface Strategy {
    /** Makes one for each dispatcher, and anew at its restarts. */
    interface Factory {
        /** Makes a strategy for one dispatcher, which acts through the handler. */
        Strategy create(Settings settings, ActionHandler dispatcher);
    }

    /** The time, in seconds, of the events that follow. */
    void advanceTo(double time);

    /** The delay of a scheduled wakeup is over. */
    void onWakeup();

    /**
     * The endpoint list or a change of it.
     *
     * @param whole whether it is the complete list
     */
    void onEndpoints(List<Endpoint> entries, boolean whole);

    /** A call for the endpoint list failed. */
    void onEndpointsFailed();

    /** Null when it knows no such request class. */
    Handle accept(Request request);

    /** One request, from its taking until its last attempt has ended. */
    interface Handle {
        /** Whether the request has its answer and no attempt is in flight. */
        boolean isComplete();

        /** The client left, or has its answer. */
        void onClientGone();

        /** The worker has begun an attempt. */
        void onStarted(int attempt);

        /** The worker tells what part of an attempt is done, from 0 to 1. */
        void onProgress(int attempt, double share);

        /**
         * An attempt ended.
         *
         * @param over whether the request has its final answer
         */
        void onEnded(int attempt, Outcome outcome, boolean over, LoadReport report);
    }
}
