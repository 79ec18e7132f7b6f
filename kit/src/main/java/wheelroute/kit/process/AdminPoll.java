package wheelroute.kit.process;

import java.util.HashMap;
import java.util.Map;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.net.loop.EventLoop;

/** Asks every process's door for its figures now and then, and hands them to the ledger. */
final class AdminPoll {
    private static final double INTERVAL = 0.5;

    /** An answer is due within this, whatever the load. */
    private static final double TIMEOUT = 1;

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

    void poll() {
        for (int i = 0; i < dispatchers; i++) {
            for (DaemonProcess process : fleet.processes(i)) {
                if (process.adminPort() != 0 && process.isWanted() && !fleet.isPaused(i)) {
                    call(i, process);
                }
            }
        }
        loop.schedule(INTERVAL, this::poll);
    }

    private void call(int dispatcher, DaemonProcess process) {
        AdminCall.call(
                loop,
                Fleet.address(process.adminPort()),
                "STATS",
                TIMEOUT,
                answer -> {
                    if (answer != null && answer.endsWith("eof\n")) {
                        metricsAuditor.onMetrics(dispatcher, process, figures(answer));
                    } else if (process.isWanted() && !fleet.isPaused(dispatcher)) {
                        metricsAuditor.onCallTimeout(dispatcher);
                    }
                });
    }

    /** Lines of the form app.NAME:NUMBER|KIND. */
    static Map<String, Long> figures(String answer) {
        Map<String, Long> figures = new HashMap<>();
        answer.lines()
                .filter(line -> line.matches("app\\.[^:]+:\\d{1,18}\\|[cg]"))
                .forEach(
                        line ->
                                figures.put(
                                        line.substring("app.".length(), line.indexOf(':')),
                                        Long.parseLong(
                                                line.substring(
                                                        line.indexOf(':') + 1,
                                                        line.indexOf('|')))));
        return figures;
    }
}
