package wheelroute.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheelroute.adapter.EndpointListReader.EndpointList;
import wheelroute.config.ConfigException;
import wheelroute.config.SettingsReader;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Request;
import wheelroute.decision.RequestHandle;
import wheelroute.decision.Settings;

/**
 * Runs the dispatchers of a simulation: reads batches of events, passes each event to the policy of
 * its dispatcher, and answers each batch with the actions that the policies decided on.
 *
 * <p>Not thread-safe. All times are taken from the events of the simulation; the adapter reads no
 * clock.
 */
public final class Adapter {
    /** Bit of the field {@code bitmap} that marks the work estimate as valid. */
    private static final long ESTIMATE_IS_VALID = 1;

    /** Bit of the field {@code bitmap} that marks the request as a retry by the client. */
    private static final long IS_RETRY = 2;

    /** Value of the field {@code topic} if the worker has started to run the attempt. */
    private static final long TOPIC_STARTED = 1;

    /** Value of the field {@code topic} if the worker reports progress. */
    private static final long TOPIC_PROGRESS = 2;

    private final LineReader line;
    private final EndpointListReader endpointLists;
    private final ReplyWriter reply;
    private final Map<Long, DispatcherInstance> instances = new HashMap<>();

    /** The dispatcher that the next events are for; null until a line of the batch selects one. */
    private DispatcherInstance current;

    /** Time of the current batch, in seconds. */
    private double now;

    /**
     * Creates an adapter. The streams need not be buffered, and the adapter does not close them.
     */
    public Adapter(InputStream in, OutputStream out) {
        line = new LineReader(in);
        endpointLists = new EndpointListReader(line);
        reply = new ReplyWriter(out);
    }

    /**
     * Reads and answers batches until the input ends.
     *
     * @throws IOException if a stream fails
     * @throws WireException if a line does not follow the protocol
     */
    public void run() throws IOException, WireException {
        while (line.next()) {
            if (line.isBlank()) {
                continue;
            }
            if (!line.readText("message").equals("FRAME")) {
                throw line.error("expected FRAME at the beginning of a batch");
            }
            now = WireMapping.seconds(line.readLong("time_us"));
            line.expectEnd();
            current = null;
            readBatch();
            reply.finish();
        }
    }

    private void readBatch() throws IOException, WireException {
        while (true) {
            if (!line.next()) {
                throw new WireException("the input ends within a batch, before YOUR_TURN");
            }
            if (line.isBlank()) {
                throw line.error("expected a message within a batch, got an empty line");
            }
            String message = line.readText("message");
            switch (message) {
                case "YOUR_TURN" -> {
                    line.expectEnd();
                    return;
                }
                case "AT" -> selectInstance();
                case "CONFIGURE" -> configure();
                default -> onEvent(message);
            }
            line.expectEnd();
        }
    }

    private void selectInstance() throws WireException {
        current = instances.computeIfAbsent(line.readLong("dispatcher"), DispatcherInstance::new);
    }

    private void configure() throws WireException {
        if (current == null) {
            throw line.error("expected an AT line that selects a dispatcher before CONFIGURE");
        }
        Settings settings = readSettings();
        current.configure(settings, reply.forInstance(current.id()), now);
    }

    private Settings readSettings() throws WireException {
        long seed = line.readLong("init_seed");
        Map<String, String> pairs = new HashMap<>();
        while (line.hasMore()) {
            String pair = line.readText("conf");
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw line.error("expected path=value, got '" + pair + "'");
            }
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        try {
            return SettingsReader.read(seed, pairs);
        } catch (ConfigException e) {
            throw line.error(e.getMessage());
        }
    }

    private void onEvent(String message) throws IOException, WireException {
        if (current == null || current.policy() == null) {
            throw line.error("'" + message + "' for a dispatcher that is not configured");
        }
        current.policy().advanceTo(now);
        EventType type = EventType.ofWireWord(message);
        if (type == null) {
            throw line.error("unknown message '" + message + "'");
        }
        switch (type) {
            case REQUEST -> onRequest();
            case ATTEMPT_ENDED -> onAttemptEnded();
            case ATTEMPT_UPDATE -> onAttemptUpdate();
            case ATTEMPT_STREAMING -> onAttemptStreaming();
            case CLIENT_GONE -> onClientGone();
            case WAKEUP -> onWakeup();
            case ENDPOINT_LIST -> onEndpointList();
            case HEALTH_CHECK_RESULT -> skipHealthCheckResult();
            case PEER_MESSAGE -> skipPeerMessage();
            case INSTANCE_KILLED -> current.kill();
        }
    }

    private void onRequest() throws WireException {
        Request request = readRequest();
        RequestHandle handle = current.policy().accept(request);
        if (handle == null) {
            throw line.error(
                    "the settings have no request class '" + request.requestClass().name() + "'");
        }
        current.updateHandle(request.id().value(), handle);
    }

    private Request readRequest() throws WireException {
        long id = line.readLong("job");
        double memory = line.readDouble("ram_units", 0);
        double slots = line.readDouble("cores_needed", 1);
        String requestClass = line.readText("kind");
        String key = line.readOptionalText("resource");
        String tenant = line.readText("org");
        double deadline = WireMapping.seconds(line.readLong("client_deadline_us"));
        long flags = line.readLong("bitmap", 0);
        double estimate =
                line.hasMore() ? WireMapping.seconds(line.readDouble("weight_hint_us", -1)) : -1;
        boolean hasEstimate = (flags & ESTIMATE_IS_VALID) != 0 && estimate >= 0;
        return new Request(
                new Ids.Request(id),
                current.requestClass(requestClass),
                current.tenant(tenant),
                deadline,
                hasEstimate ? estimate : Double.NaN,
                slots,
                memory,
                (flags & IS_RETRY) != 0,
                key == null ? null : new Ids.Key(key),
                List.of());
    }

    private void onAttemptEnded() throws WireException {
        long id = line.readLong("job");
        int attempt = (int) line.readLong("round_no");
        line.readLong("worker");
        long code = line.readLong("rc");
        line.skip("elapsed_us");
        boolean isFinal = line.readLong("no_more", 0) != 0;
        line.skip("note");
        LoadReport report = LoadReportReader.read(line);
        RequestHandle handle = current.handle(id);
        if (handle != null) {
            handle.onEnded(attempt, WireMapping.outcome(code), isFinal, report);
            current.updateHandle(id, handle);
        }
    }

    private void onAttemptUpdate() throws WireException {
        long id = line.readLong("job");
        int attempt = (int) line.readLong("round_no");
        line.readLong("worker");
        long topic = line.readLong("topic");
        double value = line.readDouble("value", 0);
        RequestHandle handle = current.handle(id);
        if (handle != null && topic == TOPIC_STARTED) {
            handle.onStarted(attempt);
        } else if (handle != null && topic == TOPIC_PROGRESS) {
            handle.onProgress(attempt, value);
        }
    }

    private void onAttemptStreaming() throws WireException {
        long id = line.readLong("job");
        int attempt = (int) line.readLong("round_no");
        line.readLong("worker");
        line.skip("elapsed_us");
        RequestHandle handle = current.handle(id);
        if (handle != null) {
            handle.onStreaming(attempt);
        }
    }

    private void onClientGone() throws WireException {
        long id = line.readLong("job");
        RequestHandle handle = current.handle(id);
        if (handle != null) {
            handle.onClientGone();
            current.updateHandle(id, handle);
        }
    }

    private void onWakeup() {
        if (line.readRest().equals(ReplyWriter.LIST_RETRY_TOKEN)) {
            reply.forInstance(current.id()).watchEndpoints();
        } else {
            current.policy().onWakeup();
        }
    }

    private void onEndpointList() throws IOException, WireException {
        EndpointList list = endpointLists.read();
        boolean polls = current.backoff() != null;
        if (list.type() == EndpointListReader.ListType.FAILED) {
            if (polls) {
                schedulePoll();
            }
            return;
        }
        if (polls && list.isResponse()) {
            current.backoff().reset();
        }
        current.policy().onEndpoints(list.endpoints(), list.isComplete());
    }

    private void schedulePoll() {
        // The duration of the failed poll counts as 0, because the protocol does not report it.
        double delaySeconds = current.backoff().nextDelay(0);
        reply.wakeAfter(current.id(), delaySeconds, ReplyWriter.LIST_RETRY_TOKEN);
    }

    /**
     * Checks the format of a health check result. The content is not used, because policies send no
     * health checks.
     */
    private void skipHealthCheckResult() throws WireException {
        line.readLong("worker");
        line.readLong("rc");
        line.readLong("elapsed_us");
        LoadReportReader.read(line);
    }

    /**
     * Checks the format of a message from another dispatcher. The content is not used, because
     * policies send no messages to each other.
     */
    private void skipPeerMessage() throws WireException {
        line.readLong("by");
        line.skip("raw");
    }
}
