package wheelroute.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheelroute.config.ConfigException;
import wheelroute.config.SettingsReader;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.decision.Policy;
import wheelroute.decision.Request;
import wheelroute.decision.RequestHandle;
import wheelroute.decision.Settings;
import wheelroute.discovery.Backoff;

/**
 * Reads batches of events, hands each to its instance's policy, and answers with what they decide.
 */
public final class Adapter {
    private static final double MICROS = 1e6;
    private static final int HINT_IS_VALID = 1;
    private static final int IS_REPEATED = 2;
    private static final int NOTE_STARTED = 1;
    private static final int NOTE_PROGRESS = 2;
    private static final int OK = 200;
    private static final String FREE_SLOTS = "x0";

    /**
     * One instance: its policy, the handles of what it holds, and its names for what the wire
     * repeats.
     */
    private static final class Instance {
        final long number;
        Policy policy;

        /** Null where the list comes unasked. */
        Backoff backoff;

        final Map<Long, RequestHandle> handles = new HashMap<>();
        final Map<String, Ids.RequestClass> offerings = new HashMap<>();
        final Map<String, Ids.Tenant> tenants = new HashMap<>();

        Instance(long number) {
            this.number = number;
        }
    }

    private final LineReader line;
    private final ReplyWriter reply;
    private final Map<Long, Instance> instances = new HashMap<>();
    private Instance current;
    private double now;

    public Adapter(InputStream in, OutputStream out) {
        line = new LineReader(in);
        reply = new ReplyWriter(out);
    }

    /** Runs until the input ends. */
    public void run() throws IOException, WireException {
        while (line.next()) {
            if (line.isBlank()) {
                continue;
            }
            if (!line.text("message").equals("FRAME")) {
                throw line.error("a batch begins with FRAME");
            }
            now = line.whole("time_us") / MICROS;
            line.expectEnd();
            current = null;
            batch();
            reply.finish();
        }
    }

    private void batch() throws IOException, WireException {
        while (true) {
            if (!line.next()) {
                throw new WireException("the input ends within a batch");
            }
            if (line.isBlank()) {
                throw line.error("an empty line within a batch");
            }
            String message = line.text("message");
            if (message.equals("YOUR_TURN")) {
                line.expectEnd();
                return;
            }
            if (message.equals("AT")) {
                current = instances.computeIfAbsent(line.whole("dispatcher"), Instance::new);
            } else if (message.equals("CONFIGURE")) {
                configure();
            } else {
                event(message);
            }
            line.expectEnd();
        }
    }

    private void configure() throws WireException {
        if (current == null) {
            throw line.error("no AT line names its instance");
        }
        long seed = line.whole("init_seed");
        Map<String, String> pairs = new HashMap<>();
        while (line.hasMore()) {
            String pair = line.text("conf");
            int eq = pair.indexOf('=');
            if (eq < 1) {
                throw line.error("'" + pair + "' is not path=value");
            }
            pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        Settings settings;
        try {
            settings = SettingsReader.read(seed, pairs);
        } catch (ConfigException e) {
            throw line.error(e.getMessage());
        }
        current.handles.clear();
        current.policy = new Policy(settings, reply.forInstance(current.number));
        current.policy.advanceTo(now);
        current.backoff = settings.watchesEndpoints() ? new Backoff(seed) : null;
    }

    private void event(String message) throws IOException, WireException {
        if (current == null || current.policy == null) {
            throw line.error("'" + message + "' for an instance that was not configured");
        }
        current.policy.advanceTo(now);
        switch (message) {
            case "ORDER" -> order();
            case "FINISHED" -> finished();
            case "UPDATE_OF" -> news();
            case "BELL" -> {
                if (line.rest().equals(ReplyWriter.LIST_TOKEN)) {
                    reply.forInstance(current.number).watchEndpoints();
                } else {
                    current.policy.onWakeup();
                }
            }
            case "SYNC" -> list();
            case "PROBED" -> probed();
            case "HEADERS" -> streaming();
            case "GONE" -> gone();
            case "MAIL" -> mail();
            case "KILLED" -> {
                current.policy = null;
                current.handles.clear();
            }
            default -> throw line.error("unknown message '" + message + "'");
        }
    }

    private void order() throws WireException {
        long id = line.whole("job");
        double memory = line.numberOr("ram_units", 0);
        double slots = line.numberOr("cores_needed", 1);
        String kind = line.text("kind");
        String key = line.textOrAbsent("resource");
        String org = line.text("org");
        double outerLimit = line.whole("client_deadline_us") / MICROS;
        long bits = line.wholeOr("bitmap", 0);
        double hint = line.hasMore() ? line.numberOr("weight_hint_us", -1) / MICROS : -1;
        boolean valid = (bits & HINT_IS_VALID) != 0 && hint >= 0;
        Request submission =
                new Request(
                        new Ids.Request(id),
                        current.offerings.computeIfAbsent(kind, Ids.RequestClass::new),
                        current.tenants.computeIfAbsent(org, Ids.Tenant::new),
                        outerLimit,
                        valid ? hint : Double.NaN,
                        slots,
                        memory,
                        (bits & IS_REPEATED) != 0,
                        key == null ? null : new Ids.Key(key));
        RequestHandle handle = current.policy.accept(submission);
        if (handle == null) {
            throw line.error("the settings have no class '" + kind + "'");
        }
        keep(id, handle);
    }

    private void keep(long id, RequestHandle handle) {
        if (handle.isComplete()) {
            current.handles.remove(id);
        } else {
            current.handles.put(id, handle);
        }
    }

    private void finished() throws WireException {
        long id = line.whole("job");
        int launch = (int) line.whole("round_no");
        line.whole("worker");
        int code = (int) line.whole("rc");
        line.skip("elapsed_us");
        boolean ended = line.wholeOr("no_more", 0) != 0;
        line.skip("note");
        LoadReport report = report();
        RequestHandle handle = current.handles.get(id);
        if (handle != null) {
            handle.onEnded(launch, outcome(code), ended, report);
            keep(id, handle);
        }
    }

    private void news() throws WireException {
        long id = line.whole("job");
        int launch = (int) line.whole("round_no");
        line.whole("worker");
        long topic = line.whole("topic");
        double value = line.numberOr("value", 0);
        RequestHandle handle = current.handles.get(id);
        if (handle != null && topic == NOTE_STARTED) {
            handle.onStarted(launch);
        } else if (handle != null && topic == NOTE_PROGRESS) {
            handle.onProgress(launch, value);
        }
    }

    private void streaming() throws WireException {
        long id = line.whole("job");
        int launch = (int) line.whole("round_no");
        line.whole("worker");
        line.skip("elapsed_us");
        RequestHandle handle = current.handles.get(id);
        if (handle != null) {
            handle.onStreaming(launch);
        }
    }

    private void gone() throws WireException {
        long id = line.whole("job");
        RequestHandle handle = current.handles.get(id);
        if (handle != null) {
            handle.onClientGone();
            keep(id, handle);
        }
    }

    private void mail() throws WireException {
        line.whole("by");
        line.skip("raw");
    }

    private void probed() throws WireException {
        // Nothing is probed, but what comes must be the wire all the same.
        line.whole("worker");
        line.whole("rc");
        line.whole("elapsed_us");
        report();
    }

    private static Outcome outcome(int code) {
        return switch (code) {
            case OK -> Outcome.SUCCEEDED;
            case 502 -> Outcome.FAILED;
            case 429 -> Outcome.REJECTED;
            case 408 -> Outcome.TIMED_OUT;
            case 521 -> Outcome.CONNECT_FAILED;
            case 520 -> Outcome.CONNECTION_LOST;
            case 444 -> Outcome.CANCELLED;
            case 409 -> Outcome.NOT_SENT;
            default -> Outcome.UNKNOWN;
        };
    }

    private LoadReport report() throws WireException {
        String pairs = line.hasMore() ? line.textOrAbsent("stats") : null;
        if (pairs == null) {
            return LoadReport.NONE;
        }
        double free = Double.NaN;
        for (int from = 0; from < pairs.length(); ) {
            int comma = pairs.indexOf(',', from);
            int end = comma < 0 ? pairs.length() : comma;
            int colon = pairs.indexOf(':', from);
            if (colon < 0 || colon > end) {
                throw line.error("a load report is name:value pairs");
            }
            double value = number(pairs.substring(colon + 1, end));
            free =
                    colon - from == FREE_SLOTS.length() && pairs.startsWith(FREE_SLOTS, from)
                            ? value
                            : free;
            from = end + 1;
        }
        return new LoadReport(free);
    }

    private double number(String s) throws WireException {
        try {
            return Double.parseDouble(s);
        } catch (NumberFormatException e) {
            throw line.error("'" + s + "' in a load report is not a number");
        }
    }

    private void list() throws IOException, WireException {
        String form = line.text("form");
        boolean whole = form.equals("F") || form.equals("C");
        if (!whole && !form.equals("D") && !form.equals("X")) {
            throw line.error("unknown form of list '" + form + "'");
        }
        line.wholeOr("stamp", 0);
        long count = line.hasMore() ? line.wholeOr("items", 0) : 0;
        line.expectEnd();
        if (form.equals("X")) {
            if (current.backoff != null) {
                // How long the call took is not told here: it failed as soon as it could.
                reply.wakeAfter(
                        current.number, current.backoff.nextDelay(0), ReplyWriter.LIST_TOKEN);
            }
            return;
        }
        List<Endpoint> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!line.next() || line.isBlank() || !line.text("message").equals("ROW")) {
                throw line.error("the list has " + count + " entries, a ROW is missing");
            }
            entries.add(row());
            if (i < count - 1) {
                line.expectEnd();
            }
        }
        if (current.backoff != null && !form.equals("C")) {
            // A remembered list answers no call of ours.
            current.backoff.reset();
        }
        current.policy.onEndpoints(entries, whole);
    }

    private Endpoint row() throws WireException {
        Ids.Model model = new Ids.Model(line.text("hw"));
        double size = line.numberOr("power_hint", 1);
        Ids.Zone zone = new Ids.Zone(line.text("region_part"));
        long started = line.wholeOr("boot_time_us", 0);
        Ids.Worker worker = new Ids.Worker(line.whole("worker"));
        Ids.Cell cell = new Ids.Cell(line.wholeOr("cohort", 0));
        Endpoint.State readiness =
                switch (line.text("readiness")) {
                    case "active" -> Endpoint.State.READY;
                    case "leaving" -> Endpoint.State.DRAINING;
                    case "left" -> Endpoint.State.REMOVED;
                    default -> throw line.error("unknown readiness");
                };
        return new Endpoint(
                worker,
                model,
                size,
                zone,
                started == 0 ? Double.NaN : started / MICROS,
                cell,
                readiness);
    }
}
