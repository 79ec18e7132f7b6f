package wheelroute.kit.process;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.net.loop.EventLoop;

/**
 * Polls the metrics of all dispatcher processes that are expected to answer and passes them to the
 * auditor. Used on the event loop's thread.
 */
final class AdminPoll {
    private static final double INTERVAL_SECONDS = 0.5;

    /** Time within which an admin server must answer, however high the load of its dispatcher. */
    private static final double TIMEOUT_SECONDS = 1;

    private static final Pattern METRIC = Pattern.compile("app\\.([^:]+):(\\d{1,18})\\|[cg]");
    private static final String END_OF_METRICS = "eof\n";

    private final EventLoop loop;
    private final Fleet fleet;
    private final MetricsAuditor metricsAuditor;
    private final int dispatchers;

    AdminPoll(EventLoop loop, Fleet fleet, MetricsAuditor metricsAuditor, int dispatchers) {
        this.loop = loop;
        this.fleet = fleet;
        this.metricsAuditor = metricsAuditor;
        this.dispatchers = dispatchers;
    }

    /** Polls all processes now and then schedules the next poll, until the event loop stops. */
    void poll() {
        for (int i = 0; i < dispatchers; i++) {
            for (DaemonProcess process : fleet.processes(i)) {
                if (process.adminPort() != 0 && process.isExpectedToRun() && !fleet.isPaused(i)) {
                    call(i, process);
                }
            }
        }
        loop.schedule(INTERVAL_SECONDS, this::poll);
    }

    private void call(int dispatcher, DaemonProcess process) {
        AdminCall.call(
                loop,
                Loopback.address(process.adminPort()),
                "STATS",
                TIMEOUT_SECONDS,
                answer -> {
                    if (answer != null && answer.endsWith(END_OF_METRICS)) {
                        metricsAuditor.onMetrics(dispatcher, process, parseMetrics(answer));
                    } else if (process.isExpectedToRun() && !fleet.isPaused(dispatcher)) {
                        metricsAuditor.onCallTimeout(dispatcher);
                    }
                });
    }

    /** Returns the values of lines such as {@code app.NAME:NUMBER|c} by name. */
    static Map<String, Long> parseMetrics(String answer) {
        Map<String, Long> valuesByName = new HashMap<>();
        for (String line : answer.lines().toList()) {
            Matcher metric = METRIC.matcher(line);
            if (metric.matches()) {
                valuesByName.put(metric.group(1), Long.parseLong(metric.group(2)));
            }
        }
        return valuesByName;
    }
}
