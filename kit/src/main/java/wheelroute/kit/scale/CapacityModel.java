package wheelroute.kit.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Works a size out from measured slopes: each figure with its standard error, its bound, and what
 * carries it. A figure fits where it is within its bound by two standard errors, and is over where
 * it is past it by as much.
 */
public final class CapacityModel {
    /** Standard errors: of nineteen figures in twenty the true one is no further away. */
    private static final double SURE = 2;

    private static final double MILLIS = 1e3;
    private static final double MEGA = 1e6;

    /**
     * By so many dispatchers each worker is seen at least, where each has a part: none is lost with
     * one.
     */
    private static final int FEW_SEE = 2;

    private static final int MANY_SEE = 3;

    /** From so many dispatchers on a third costs each of them little. */
    private static final double MANY = 100;

    /** At rest the list changed so often a second. */
    private static final double MEASURED_CHANGES = 1;

    private final ScaleResults slopes;
    private final DeploymentSize size;

    /** Makes the model of one size by the costs that were measured. */
    public CapacityModel(ScaleResults slopes, DeploymentSize size) {
        this.slopes = slopes;
        this.size = size;
    }

    /** A figure and its standard error. */
    record Estimate(double value, double error) {
        Estimate plus(Estimate other) {
            return new Estimate(value + other.value, Math.hypot(error, other.error));
        }

        Estimate times(double factor) {
            return new Estimate(value * factor, error * factor);
        }

        String within(double bound) {
            return value + SURE * error <= bound
                    ? "fits"
                    : value - SURE * error > bound
                            ? "over, " + digits(value / bound) + " times"
                            : "not certain";
        }

        String text() {
            return digits(value) + " ± " + digits(error);
        }
    }

    /** The tables of the page, by their names, as Markdown. */
    public Map<String, String> tables() {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("slopes", slopesTable());
        all.put("dispatcher", dispatcherTable());
        all.put("machines", machinesTable());
        all.put("decision", decisionTable());
        all.put("list-service", listServiceTable());
        all.put("in-force", inForceTable());
        all.put("failures", failuresTable());
        all.put("workers", workersTable());
        all.put("peers", peersTable());
        all.put("hollow", hollowTable());
        return all;
    }

    /** Bounds that are passed, worst first; empty where the size fits. */
    public List<String> verdict() {
        List<String> over = new ArrayList<>();
        for (double dispatchers : size.dispatchers()) {
            String at = " with " + digits(dispatchers) + " dispatchers";
            Estimate cpu = cpuAtPeak(dispatchers);
            if (!cpu.within(size.coreShare()).equals("fits")) {
                over.add("processor time at the peak" + at + ": " + cpu.within(size.coreShare()));
            }
            Estimate memory = memory(dispatchers);
            if (!memory.within(size.memoryMb()).equals("fits")) {
                over.add("memory" + at + ": " + memory.within(size.memoryMb()));
            }
            Estimate bytes = controlBytes();
            if (!bytes.within(size.controlBytes()).equals("fits")) {
                over.add("control's bytes" + at + ": " + bytes.within(size.controlBytes()));
            }
        }
        return over;
    }

    // ---- the figures

    private static Estimate at(LinearFit fit, double x) {
        return new Estimate(fit.at(x), fit.errorAt(x));
    }

    /** What is more costs no less: a slope under 0 is what the errors make of none. */
    private static Estimate slope(LinearFit fit) {
        return new Estimate(Math.max(0, fit.slope()), fit.slopeError());
    }

    private Estimate rest() {
        Estimate changes =
                slope(slopes.fit(ScaleRun.CHANGES_CPU))
                        .times(size.changesPerSecond() - MEASURED_CHANGES);
        return at(slopes.fit(ScaleRun.REST_CPU), size.workers()).plus(changes);
    }

    /** One attempt among so many workers, with the tenants' part. */
    private Estimate launch(double workers) {
        return at(slopes.fit(ScaleRun.LAUNCH_CPU), workers)
                .plus(slope(slopes.fit(ScaleRun.TENANTS_CPU)).times(size.teams()));
    }

    private Estimate cpuAtPeak(double dispatchers) {
        return rest().plus(launch(size.workers()).times(size.startsPerSecond() / dispatchers))
                .plus(slope(slopes.fit(ScaleRun.HELD_CPU)).times(size.running() / dispatchers));
    }

    private Estimate memory(double dispatchers) {
        return at(slopes.fit(ScaleRun.MEMORY), size.workers())
                .plus(slope(slopes.fit(ScaleRun.HELD_MEMORY)).times(size.running() / dispatchers));
    }

    private Estimate controlBytes() {
        return at(slopes.fit(ScaleRun.CHANGES_BYTES), size.changesPerSecond());
    }

    private Estimate wholeList() {
        return at(slopes.fit(ScaleRun.WHOLE_BYTES), size.workers());
    }

    private Estimate entryBytes() {
        return slope(slopes.fit(ScaleRun.WHOLE_BYTES));
    }

    // ---- the tables

    private String slopesTable() {
        Table table = new Table("line", "against", "measured to", "at 0", "slope", "r²");
        for (LinearFit fit : slopes.fits().values()) {
            table.row(
                    "`" + fit.name() + "`, " + fit.y(),
                    fit.x(),
                    digits(fit.most()),
                    digits(fit.intercept()) + " ± " + digits(fit.interceptError()),
                    digits(fit.slope()) + " ± " + digits(fit.slopeError()),
                    String.format(Locale.ROOT, "%.3f", fit.r2()));
        }
        return "Measured on "
                + slopes.machine()
                + ": "
                + (slopes.notJudged().isEmpty()
                        ? "quiet enough to be judged."
                        : "NOT JUDGED, " + slopes.notJudged() + ".")
                + "\n\n"
                + table.text();
    }

    private String dispatcherTable() {
        Table table =
                new Table(
                        "dispatchers",
                        "launches a second, held",
                        "core at rest",
                        "core at the peak",
                        "of " + digits(size.coreShare()),
                        "MB",
                        "of " + digits(size.memoryMb()),
                        "control, bytes a second",
                        "of " + digits(size.controlBytes()));
        for (double n : size.dispatchers()) {
            table.row(
                    digits(n),
                    digits(size.startsPerSecond() / n) + ", " + digits(size.running() / n),
                    rest().text(),
                    cpuAtPeak(n).text(),
                    cpuAtPeak(n).within(size.coreShare()),
                    memory(n).text(),
                    memory(n).within(size.memoryMb()),
                    controlBytes().text(),
                    controlBytes().within(size.controlBytes()));
        }
        return table.text();
    }

    private String machinesTable() {
        Table table =
                new Table(
                        "dispatchers",
                        "cores in all, at the peak",
                        "GB in all",
                        "machines for the cores",
                        "machines for the memory",
                        "of " + digits(size.machines()));
        for (double n : size.dispatchers()) {
            Estimate cores = cpuAtPeak(n).times(n);
            Estimate memory = memory(n).times(n / MILLIS);
            Estimate byCores = cores.times(1 / (size.machineCores() * size.coresInUse()));
            Estimate byMemory = memory.times(MILLIS / size.machineMemoryMb());
            Estimate most = byCores.value() > byMemory.value() ? byCores : byMemory;
            table.row(
                    digits(n),
                    cores.text(),
                    memory.text(),
                    byCores.text(),
                    byMemory.text(),
                    most.within(size.machines()));
        }
        return table.text();
    }

    private String decisionTable() {
        Table table =
                new Table(
                        "dispatchers",
                        "workers in its part",
                        "seen by",
                        "ms a launch",
                        "of a core, at the peak",
                        "of " + digits(size.coreShare()));
        for (double n : size.dispatchers()) {
            int seenBy = n < MANY ? FEW_SEE : MANY_SEE;
            double part = Math.min(size.workers(), Math.ceil(seenBy * size.workers() / n));
            Estimate each = launch(part);
            Estimate cpu = each.times(size.startsPerSecond() / n);
            table.row(
                    digits(n),
                    digits(part),
                    digits(seenBy),
                    each.times(MILLIS).text(),
                    cpu.text(),
                    cpu.within(size.coreShare()));
            Estimate whole = launch(size.workers());
            Estimate wholeCpu = whole.times(size.startsPerSecond() / n);
            table.row(
                    digits(n),
                    digits(size.workers()) + " (all)",
                    digits(n),
                    whole.times(MILLIS).text(),
                    wholeCpu.text(),
                    wholeCpu.within(size.coreShare()));
        }
        return table.text();
    }

    private String listServiceTable() {
        Table table =
                new Table(
                        "dispatchers",
                        "calls a second",
                        "bytes a second at rest",
                        "whole lists after a mass" + " restart, MB",
                        "after a cut of " + digits(size.cutSeconds()) + " s, MB",
                        "a zone's loss, MB");
        for (double n : size.dispatchers()) {
            double missed = Math.min(size.workers(), size.cutSeconds() * size.changesPerSecond());
            table.row(
                    digits(n),
                    at(slopes.fit(ScaleRun.CALLS), n).text(),
                    controlBytes().times(n).text(),
                    wholeList().times(n / MEGA).text(),
                    entryBytes().times(missed * n / MEGA).text(),
                    entryBytes().times(size.workers() / size.zones() * n / MEGA).text());
        }
        return table.text();
    }

    private String inForceTable() {
        Table table =
                new Table(
                        "dispatchers",
                        "median, s",
                        "99th percentile, s",
                        "worst, s",
                        "of " + digits(size.inForce()));
        for (double n : size.dispatchers()) {
            Estimate worst = at(slopes.fit(ScaleRun.IN_FORCE_WORST), n);
            table.row(
                    digits(n),
                    at(slopes.fit(ScaleRun.IN_FORCE_P50), n).text(),
                    at(slopes.fit(ScaleRun.IN_FORCE_P99), n).text(),
                    worst.text(),
                    worst.within(size.inForce()));
        }
        return table.text();
    }

    private String failuresTable() {
        double zone = size.workers() / size.zones();
        double ordinary = (2 * size.failuresPerDay() + 3 * size.restartsPerDay()) / 86_400;
        Table table =
                new Table(
                        "what fails",
                        "changes",
                        "s of processor, a dispatcher",
                        "s until in force");
        table.row(
                "machines on an ordinary day, each " + "told of twice, restarts three times",
                digits(ordinary) + " a second",
                slope(slopes.fit(ScaleRun.CHANGES_CPU)).times(ordinary).text() + " a second",
                "as any change");
        table.row(
                "a rack or a switch",
                digits(size.rackWorkers()),
                at(slopes.fit(ScaleRun.BATCH_CPU), size.rackWorkers()).text(),
                at(slopes.fit(ScaleRun.BATCH_IN_FORCE), size.rackWorkers()).text());
        table.row(
                "a zone, as one answer",
                digits(zone),
                at(slopes.fit(ScaleRun.BATCH_CPU), zone).text(),
                at(slopes.fit(ScaleRun.BATCH_IN_FORCE), zone).text());
        table.row(
                "a dispatcher's restart: to take clients",
                "the whole list",
                "-",
                at(slopes.fit(ScaleRun.READY), size.workers()).text());
        table.row(
                "... to have the whole list",
                "the whole list",
                "-",
                at(slopes.fit(ScaleRun.LISTED), size.workers()).text());
        table.row(
                "the list service's restart under "
                        + digits(slopes.fit(ScaleRun.CALLS).most())
                        + " dispatchers, from its return",
                "1",
                "-",
                digits(slopes.figure(ScaleRun.RESTART_WORST))
                        + " (measured once, "
                        + digits(slopes.figure(ScaleRun.RESTART_CALLS))
                        + " calls)");
        return table.text();
    }

    private String workersTable() {
        Table table = new Table("a worker", "figure");
        table.row("launches held", digits(size.running() / size.workers()));
        table.row("launches a second", digits(size.startsPerSecond() / size.workers()));
        for (double n : size.dispatchers()) {
            table.row("dispatchers that may connect to it, of " + digits(n), digits(n));
        }
        return table.text();
    }

    private String peersTable() {
        // docs/design/peers.md: four datagrams of at most 256 bytes, a member and second, at any
        // size.
        Table table =
                new Table(
                        "dispatchers",
                        "datagrams a second, in all",
                        "bytes a second, a dispatcher, at most");
        for (double n : size.dispatchers()) {
            table.row(digits(n), digits(4 * n), digits(2 * 4 * 256));
        }
        return table.text();
    }

    private String hollowTable() {
        Table table = new Table("seen from outside", "real", "hollow");
        table.row(
                "calls for the list a second",
                digits(slopes.figure(ScaleRun.REAL_CALLS)),
                digits(slopes.figure(ScaleRun.HOLLOW_CALLS)));
        table.row(
                "a change in force, median, s",
                digits(slopes.figure(ScaleRun.REAL_IN_FORCE)),
                digits(slopes.figure(ScaleRun.HOLLOW_IN_FORCE)));
        return table.text();
    }

    /** Three digits that count, without an exponent. */
    static String digits(double value) {
        if (value == Math.rint(value)) {
            return String.format(Locale.ROOT, "%.0f", value);
        }
        int digits = (int) Math.max(0, 2 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(9, digits) + "f", value);
    }

    /** Lines of Markdown. */
    private static final class Table {
        private final StringBuilder out = new StringBuilder();

        Table(String... heads) {
            row(heads);
            out.append("|").append(" --- |".repeat(heads.length)).append('\n');
        }

        void row(String... cells) {
            out.append("| ").append(String.join(" | ", cells)).append(" |\n");
        }

        String text() {
            return out.toString();
        }
    }
}
