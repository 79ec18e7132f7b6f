package wheelroute.kit.process;

import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.Scenario;

/** Connection behavior of a scenario's clients, drawn at random from the seed of the run. */
final class ScenarioBehavior implements ConnectionBehavior {
    private static final int NEW_CONNECTION_DRAW = 0;
    private static final int WRITE_PAUSE_DRAW = 1;
    private static final long DRAWS_PER_ATTEMPT = 2;

    private final Scenario.Clients clients;
    private final SeededRandom random;

    ScenarioBehavior(Scenario.Clients clients, SeededRandom random) {
        this.clients = clients;
        this.random = random;
    }

    @Override
    public boolean usesNewConnection(ClientAttempt attempt) {
        return draw(attempt, NEW_CONNECTION_DRAW) < clients.newConnectionFraction();
    }

    @Override
    public double writePauseSeconds(ClientAttempt attempt) {
        double max = Math.min(clients.writePauseSeconds(), attempt.timeoutSeconds() / 2);
        return max <= 0 || !usesNewConnection(attempt) ? 0 : max * draw(attempt, WRITE_PAUSE_DRAW);
    }

    private double draw(ClientAttempt attempt, int draw) {
        return random.uniform(
                SeededRandom.Purpose.CLIENT,
                attempt.request().number(),
                DRAWS_PER_ATTEMPT * attempt.number() + draw);
    }
}
