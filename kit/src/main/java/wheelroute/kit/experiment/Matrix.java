package wheelroute.kit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wheelroute.config.ConfigException;
import wheelroute.kit.process.ProcessRun;
import wheelroute.kit.process.RehearsalException;
import wheelroute.kit.report.Report;
import wheelroute.kit.simulation.SimulationRun;
import wheelroute.kit.strategy.Strategies;

/** Plays a plan, so many runs side by side. */
public final class Matrix {
    private static final double NANOS = 1e9;

    private final Plan plan;
    private final int cores;
    private final BooleanSupplier stop;
    private final Consumer<String> progress;

    /**
     * Makes the plays of a plan.
     *
     * @param cores how many plays run side by side
     * @param stop asked between plays, whether to end early
     * @param progress hears of progress, a line at a time
     */
    public Matrix(Plan plan, int cores, BooleanSupplier stop, Consumer<String> progress) {
        this.plan = plan;
        this.cores = cores;
        this.stop = stop;
        this.progress = progress;
    }

    /**
     * The reports in the plan's order, whatever order they were played in; fewer when it was
     * stopped.
     */
    public List<Report> run() throws RehearsalException, ConfigException {
        List<Plan.Item> items = plan.items();
        ExecutorService pool = Executors.newFixedThreadPool(cores);
        AtomicInteger done = new AtomicInteger();
        AtomicBoolean failed = new AtomicBoolean();
        List<Future<Report>> futures = new ArrayList<>();
        for (Plan.Item item : items) {
            futures.add(
                    pool.submit(
                            () -> {
                                if (stop.getAsBoolean() || failed.get()) {
                                    return null;
                                }
                                try {
                                    long begun = System.nanoTime();
                                    Report report = run(item);
                                    progress.accept(
                                            String.format(
                                                    Locale.ROOT,
                                                    "%d of %d runs played: %s, %d asks in %.2f s,"
                                                            + " %s",
                                                    done.incrementAndGet(),
                                                    items.size(),
                                                    item.text(),
                                                    report.total().requested(),
                                                    (System.nanoTime() - begun) / NANOS,
                                                    report.judgement()
                                                            .name()
                                                            .toLowerCase(Locale.ROOT)
                                                            .replace('_', ' ')));
                                    return report;
                                } catch (ConfigException
                                        | RehearsalException
                                        | RuntimeException e) {
                                    failed.set(true);
                                    throw e;
                                }
                            }));
        }
        pool.shutdown();
        List<Report> reports = new ArrayList<>();
        try {
            for (Future<Report> future : futures) {
                Report report = future.get();
                if (report != null) {
                    reports.add(report);
                }
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ConfigException cause) {
                throw cause;
            }
            throw e.getCause() instanceof RehearsalException cause
                    ? cause
                    : new RehearsalException("a run broke off: " + e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            pool.shutdownNow();
        }
        return reports;
    }

    /** One of them alone. */
    public Report run(Plan.Item item) throws RehearsalException, ConfigException {
        Variant variant = item.variant();
        if (plan.clock() == Plan.Clock.REAL) {
            return ProcessRun.run(
                    new ProcessRun.Options(
                            item.scenario(),
                            item.seed(),
                            item.seconds(),
                            variant.settings(),
                            variant.name(),
                            variant.jar(),
                            plan.older()),
                    stop,
                    text -> progress.accept(item.text() + ": " + text));
        }
        return SimulationRun.run(
                item.scenario(),
                item.seed(),
                item.seconds(),
                variant.settings(),
                variant.name(),
                cluster -> Strategies.factory(variant.brain(), cluster),
                stop);
    }
}
