package wheelroute.kit.process;

import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.SeededRandom;
import wheelroute.kit.scenario.Scenario;

/** How a scenario's clients use connections, drawn by the seed. */
final class ScenarioBehavior implements ClientPool.ConnectionBehavior {
    private final Scenario.Clients clients;
    private final SeededRandom random;

    ScenarioBehavior(Scenario.Clients clients, SeededRandom random) {
        this.clients = clients;
        this.random = random;
    }

    @Override
    public boolean isFresh(ClientAttempt clientAttempt) {
        return draw(clientAttempt, 0) < clients.newConnectionFraction();
    }

    @Override
    public double pause(ClientAttempt clientAttempt) {
        double max = Math.min(clients.writePauseSeconds(), clientAttempt.timeoutSeconds() / 2);
        return max <= 0 || !isFresh(clientAttempt) ? 0 : max * draw(clientAttempt, 1);
    }

    private double draw(ClientAttempt clientAttempt, int draw) {
        return random.uniform(
                SeededRandom.Purpose.CLIENT,
                clientAttempt.request().number(),
                2L * clientAttempt.number() + draw);
    }
}
