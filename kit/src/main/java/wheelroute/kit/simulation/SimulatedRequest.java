package wheelroute.kit.simulation;

import java.util.ArrayList;
import java.util.List;
import wheelroute.decision.Ids;
import wheelroute.decision.Outcome;
import wheelroute.decision.Request;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.strategy.Strategy;

/** A request in a simulated dispatcher, from when it is read until its last attempt ends. */
final class SimulatedRequest implements SimulatedLink.Connection {
    /** Subtracted from the client's timeout, to leave time for the transit of the response. */
    private static final double RESPONSE_MARGIN_SECONDS = 0.08;

    /** Maximum response margin, as a fraction of the client's timeout. */
    private static final double RESPONSE_MARGIN_FRACTION = 0.1;

    private final SimulatedDispatcher dispatcher;
    private final ClientAttempt clientAttempt;
    private final Request request;
    private final List<SimulatedAttempt> attempts = new ArrayList<>(2);

    /** The strategy's handle of the request; null until the strategy has accepted it. */
    private Strategy.Handle handle;

    /** Whether the client has its final response, or is gone. */
    private boolean isAnswered;

    SimulatedRequest(SimulatedDispatcher dispatcher, ClientAttempt clientAttempt) {
        this.dispatcher = dispatcher;
        this.clientAttempt = clientAttempt;
        double timeoutSeconds = clientAttempt.timeoutSeconds();
        double marginSeconds =
                Math.min(RESPONSE_MARGIN_SECONDS, RESPONSE_MARGIN_FRACTION * timeoutSeconds);
        Scenario.RequestClass requestClass = clientAttempt.request().requestClass();
        request =
                new Request(
                        new Ids.Request(clientAttempt.key()),
                        new Ids.RequestClass(requestClass.name()),
                        new Ids.Tenant(clientAttempt.request().tenant().name()),
                        dispatcher.now() + timeoutSeconds - marginSeconds,
                        clientAttempt.request().costEstimate(),
                        requestClass.slots(),
                        requestClass.memory(),
                        clientAttempt.number() > 0,
                        null,
                        List.of());
    }

    ClientAttempt clientAttempt() {
        return clientAttempt;
    }

    Ids.Request id() {
        return request.id();
    }

    double deadline() {
        return request.deadline();
    }

    Strategy.Handle handle() {
        return handle;
    }

    boolean isAnswered() {
        return isAnswered;
    }

    List<SimulatedAttempt> attempts() {
        return attempts;
    }

    /** Passes the request to the strategy. */
    void start() {
        handle = dispatcher.strategy().accept(request);
        closeIfComplete();
    }

    /** Sends the final response, unless the client has one or is gone. */
    void respond(FinalResponse response, double retryAfterSeconds) {
        if (!isAnswered) {
            isAnswered = true;
            dispatcher.sendResponse(this, response, retryAfterSeconds);
        }
    }

    /** Handles that the link to the client has reset the connection. */
    @Override
    public void reset() {
        dispatcher.onClientConnectionReset(this);
    }

    void onClientGone() {
        if (!isAnswered) {
            isAnswered = true;
            dispatcher.network().toClients().remove(this);
            handle.onClientGone();
            closeIfComplete();
        }
    }

    /** Times out all open attempts, and fails the request if it has no final response then. */
    void onDeadline() {
        if (!dispatcher.isPending(this)) {
            return;
        }
        for (SimulatedAttempt attempt : new ArrayList<>(attempts)) {
            attempt.abort(Outcome.TIMED_OUT);
        }
        dispatcher.handleEvent(
                () -> {
                    if (!isAnswered) {
                        respond(FinalResponse.FAILED, 0);
                    }
                    dispatcher.removePending(this);
                });
    }

    void closeIfComplete() {
        if (isAnswered && handle != null && handle.isComplete()) {
            dispatcher.removePending(this);
        }
    }
}
