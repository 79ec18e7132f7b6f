package wheelroute.net.requests;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Idempotency;
import wheelroute.decision.Ids;
import wheelroute.decision.Request;
import wheelroute.decision.Settings;
import wheelroute.net.clients.BadRequestException;
import wheelroute.net.clients.ClientRequest;

/**
 * Creates the policy's requests from the messages of clients. Checks the request class, and assigns
 * the id, tenant and deadline. Used on the event loop's thread only.
 */
final class RequestFactory {
    /**
     * Time subtracted from a client's timeout, so that the response reaches the client in time. On
     * a busy core the message may have been unread for tens of milliseconds.
     */
    private static final double RESPONSE_MARGIN_SECONDS = 0.08;

    /** Upper limit of the response margin, as a fraction of the client's timeout. */
    private static final double MAX_RESPONSE_MARGIN_FRACTION = 0.1;

    /** Stands for all tenants without a quota, because their number is unbounded. */
    private static final Ids.Tenant OTHER_TENANTS = new Ids.Tenant("");

    private final double maxTimeoutSeconds;
    private final Map<String, Settings.RequestClass> requestClasses = new HashMap<>();
    private final Map<String, Ids.Tenant> tenants = new HashMap<>();
    private long lastRequestId;

    /**
     * Creates a factory for the request classes and tenants of the settings.
     *
     * @param maxTimeoutSeconds the maximum timeout of a request; a longer one is reduced to it
     */
    RequestFactory(Settings settings, double maxTimeoutSeconds) {
        this.maxTimeoutSeconds = maxTimeoutSeconds;
        for (Settings.RequestClass requestClass : settings.requestClasses()) {
            requestClasses.put(requestClass.id().name(), requestClass);
        }
        settings.quotas().keySet().forEach(tenant -> tenants.put(tenant.name(), tenant));
    }

    /** Returns the request class that a message names, or null if the class is unknown. */
    Settings.RequestClass findRequestClass(ClientRequest message) {
        return requestClasses.get(message.requestClass());
    }

    /**
     * Returns the request class that a message names.
     *
     * @throws BadRequestException if the class is unknown, or needs an idempotency key that the
     *     message does not have
     */
    Settings.RequestClass requestClass(ClientRequest message) throws BadRequestException {
        Settings.RequestClass requestClass = findRequestClass(message);
        if (requestClass == null) {
            throw new BadRequestException(HttpStatus.NOT_FOUND_404, "no such offering");
        }
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                && message.idempotencyKey() == null) {
            throw new BadRequestException(
                    HttpStatus.BAD_REQUEST_400, "this offering needs an Idempotency-Key");
        }
        return requestClass;
    }

    /**
     * Returns the deadline of a request, on the event loop's clock in seconds.
     *
     * @param arrivedAt the time from which the client's timeout counts, on the same clock
     */
    double deadline(ClientRequest message, double arrivedAt) {
        double margin =
                Math.min(
                        RESPONSE_MARGIN_SECONDS,
                        MAX_RESPONSE_MARGIN_FRACTION * message.timeoutSeconds());
        return arrivedAt + Math.min(message.timeoutSeconds(), maxTimeoutSeconds) - margin;
    }

    /** Creates a request with a new id. */
    Request create(
            ClientRequest message,
            Settings.RequestClass requestClass,
            double deadline,
            List<EarlierAttempt> earlierAttempts) {
        return new Request(
                new Ids.Request(++lastRequestId),
                requestClass.id(),
                tenants.getOrDefault(message.tenant(), OTHER_TENANTS),
                deadline,
                message.estimatedWork(),
                message.slots(),
                message.memory(),
                message.clientRetry(),
                message.routeKey() == null ? null : new Ids.Key(message.routeKey()),
                earlierAttempts);
    }
}
