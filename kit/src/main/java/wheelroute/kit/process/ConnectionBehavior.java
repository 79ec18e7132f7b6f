package wheelroute.kit.process;

import wheelroute.kit.model.ClientAttempt;

/**
 * How clients use their connections; see {@link wheelroute.kit.scenario.Scenario.Clients}. Each
 * method always returns the same value for the same attempt.
 */
interface ConnectionBehavior {
    /** Reuses idle connections and writes each request without a pause. */
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

    /** Whether an attempt uses a new connection that no other attempt uses. */
    boolean usesNewConnection(ClientAttempt attempt);

    /**
     * Returns the pause between the two halves of a request in seconds; 0 to write the request
     * without a pause.
     */
    double writePauseSeconds(ClientAttempt attempt);
}
