package wheelroute.kit.process;

import java.util.HashMap;
import java.util.Map;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.net.EventLoop;

/** Asks every process's door for its figures now and then, and hands them to the ledger. */
final class AdminPoll {
    private static final double EVERY = 0.5;

    /** An answer is due within this, whatever the load. */
    private static final double DUE = 1;

    private final EventLoop loop;
    private final Fleet fleet;
    private final MetricsAuditor ledger;
    private final int dispatchers;

    AdminPoll(EventLoop loop, Fleet fleet, MetricsAuditor ledger, int dispatchers) {
        this.loop = loop;
        this.fleet = fleet;
        this.ledger = ledger;
        this.dispatchers = dispatchers;
    }

    void begin() {
        for (int i = 0; i < dispatchers; i++) {
            for (DaemonProcess process : fleet.processes(i)) {
                if (process.door() != 0 && process.isWanted() && !fleet.isStill(i)) {
                    ask(i, process);
                }
            }
        }
        loop.schedule(EVERY, this::begin);
    }

    private void ask(int dispatcher, DaemonProcess process) {
        AdminCall.ask(
                loop,
                Fleet.address(process.door()),
                "STATS",
                DUE,
                answer -> {
                    if (answer != null && answer.endsWith("eof\n")) {
                        ledger.told(dispatcher, process, figures(answer));
                    } else if (process.isWanted() && !fleet.isStill(dispatcher)) {
                        ledger.silent(dispatcher);
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
