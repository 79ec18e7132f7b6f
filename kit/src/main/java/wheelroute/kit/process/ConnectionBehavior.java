package wheelroute.kit.process;

import wheelroute.kit.model.ClientAttempt;

/**
 * How clients use their connections; see {@link wheelroute.kit.scenario.Scenario.Clients}. The same
 * attempt always behaves alike.
 */
interface ConnectionBehavior {
    /** Writes each request at once, on an idle connection if there is one. */
    ConnectionBehavior DEFAULT =
            new ConnectionBehavior() {
                @Override
                public boolean usesNewConnection(ClientAttempt attempt) {
                    return false;
                }

                @Override
                public double writePauseSeconds(ClientAttempt attempt) {
                    return 0;
                }
            };

    /** Whether an attempt has a connection of its own. */
    boolean usesNewConnection(ClientAttempt attempt);

    /** Returns the time between the two parts of a request; 0 to write it at once. */
    double writePauseSeconds(ClientAttempt attempt);
}
