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
        Strategy make(Settings settings, ActionHandler dispatcher);
    }

    void at(double time);

    void woken();

    void listed(List<Endpoint> entries, boolean whole);

    void listFailed();

    /** Null when it knows no such offering. */
    Handle take(Request submission);

    /** One submission, from its taking until its last launch has ended. */
    interface Handle {
        boolean isOver();

        void gone();

        void started(int launch);

        void progressed(int launch, double share);

        void ended(int launch, Outcome outcome, boolean over, LoadReport report);
    }
}
