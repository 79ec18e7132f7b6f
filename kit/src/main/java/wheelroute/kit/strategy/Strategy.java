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
        Strategy create(Settings settings, ActionHandler dispatcher);
    }

    void advanceTo(double time);

    void onWakeup();

    void onEndpoints(List<Endpoint> entries, boolean whole);

    void onEndpointsFailed();

    /** Null when it knows no such request class. */
    Handle accept(Request request);

    /** One request, from its taking until its last attempt has ended. */
    interface Handle {
        boolean isComplete();

        void onClientGone();

        void onStarted(int attempt);

        void onProgress(int attempt, double share);

        void onEnded(int attempt, Outcome outcome, boolean over, LoadReport report);
    }
}
