package wheelroute.net;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Ids;
import wheelroute.decision.Request;
import wheelroute.net.clients.ClientPresence;
import wheelroute.net.clients.ClientRequest;
import wheelroute.net.clients.ClientResponse;
import wheelroute.net.clients.RequestAcceptor;
import wheelroute.net.metrics.Counters;
import wheelroute.net.requests.Exchange;
import wheelroute.net.requests.RequestDispatcher;

/** A request is answered even if the policy throws an unexpected exception. */
public class PolicyFailureTest extends ServiceHarness {
    private static final ClientRequest MESSAGE =
            new ClientRequest(
                    "POST", "/job/x", "77", null, null, "", 10, 1, 1, 0, false, true, new byte[0]);

    @Test(timeOut = TIMEOUT_MILLIS)
    public void failsRequestAtDeadlineWhenPolicyThrows() throws Exception {
        expectsException = true;
        serve(Idempotency.IDEMPOTENT);
        RequestDispatcher dispatcher =
                new RequestDispatcher(
                        loop,
                        new Counters(List.of(new Ids.RequestClass("job"))),
                        null,
                        config.settings(),
                        2,
                        heapBudget.attemptHistoryBytes(),
                        100);
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.post(
                () -> {
                    Exchange exchange =
                            new Exchange(
                                    dispatcher,
                                    loop,
                                    request(),
                                    MESSAGE,
                                    statusRecorder(status),
                                    null);
                    // Without a policy the call throws an exception, as a faulty policy does.
                    dispatcher.runEvent(() -> exchange.begin(null));
                    exchange.onDeadline();
                });
        assertEquals(status.get().intValue(), 502);
    }

    private Request request() {
        return new Request(
                new Ids.Request(1),
                new Ids.RequestClass("job"),
                new Ids.Tenant(""),
                loop.now() + 2,
                1,
                1,
                0,
                false,
                null,
                List.of());
    }

    private static RequestAcceptor.ResponseSender statusRecorder(
            CompletableFuture<Integer> status) {
        return new RequestAcceptor.ResponseSender() {
            @Override
            public void send(ClientResponse response) {
                status.complete(response.status());
            }

            @Override
            public ClientPresence checkPresence() {
                return ClientPresence.CONNECTED;
            }
        };
    }
}
