package wheelroute.kit.experiment;

import static wheelroute.units.TimeUnits.NANOS_PER_SECOND;

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

/**
 * Runs the items of a plan, several in parallel.
 *
 * <p>A matrix must be used by one thread. The functions stop and progress are called on the threads
 * that execute the runs.
 */
public final class Matrix {
    private final Plan plan;
    private final int parallelRuns;
    private final BooleanSupplier stop;
    private final Consumer<String> progress;
    private final AtomicInteger completedRuns = new AtomicInteger();
    private final AtomicBoolean hasFailed = new AtomicBoolean();

    /**
     * Creates a matrix that has run nothing yet.
     *
     * @param parallelRuns the maximum number of runs at a time
     * @param stop after this returns true, no run begins and runs in progress end early
     * @param progress receives one line after each run
     */
    public Matrix(Plan plan, int parallelRuns, BooleanSupplier stop, Consumer<String> progress) {
        this.plan = plan;
        this.parallelRuns = parallelRuns;
        this.stop = stop;
        this.progress = progress;
    }

    /**
     * Runs all items.
     *
     * @return the reports in the plan's order; fewer after a stop
     * @throws RehearsalException if a run cannot be completed
     * @throws ConfigException if the settings of a run cannot be used
     */
    public List<Report> run() throws RehearsalException, ConfigException {
        List<Plan.Item> items = plan.items();
        ExecutorService pool = Executors.newFixedThreadPool(parallelRuns);
        List<Future<Report>> futures = new ArrayList<>();
        for (Plan.Item item : items) {
            futures.add(pool.submit(() -> runUnlessStopped(item, items.size())));
        }
        pool.shutdown();
        try {
            return reportsOf(futures);
        } finally {
            pool.shutdownNow();
        }
    }

    /** Runs one item; returns null after a stop or after another run has failed. */
    private Report runUnlessStopped(Plan.Item item, int itemCount)
            throws RehearsalException, ConfigException {
        if (stop.getAsBoolean() || hasFailed.get()) {
            return null;
        }
        try {
            long startNanos = System.nanoTime();
            Report report = run(item);
            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            progress.accept(progressLine(item, report, itemCount, seconds));
            return report;
        } catch (ConfigException | RehearsalException | RuntimeException e) {
            hasFailed.set(true);
            throw e;
        }
    }

    private String progressLine(Plan.Item item, Report report, int itemCount, double seconds) {
        return String.format(
                Locale.ROOT,
                "%d of %d runs complete: %s, %d requests in %.2f s, %s",
                completedRuns.incrementAndGet(),
                itemCount,
                item.text(),
                report.total().requested(),
                seconds,
                report.judgement().name().toLowerCase(Locale.ROOT).replace('_', ' '));
    }

    private static List<Report> reportsOf(List<Future<Report>> futures)
            throws RehearsalException, ConfigException {
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
                    : new RehearsalException("a run failed: " + e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return reports;
    }

    /** Runs one item on the calling thread and returns its report. */
    public Report run(Plan.Item item) throws RehearsalException, ConfigException {
        Variant variant = item.variant();
        if (plan.clock() == Plan.Clock.REAL) {
            return ProcessRun.run(
                    new ProcessRun.Options(
                            item.scenario(),
                            item.seed(),
                            item.durationSeconds(),
                            variant.settings(),
                            variant.name(),
                            variant.jar(),
                            plan.olderJar()),
                    stop,
                    text -> progress.accept(item.text() + ": " + text));
        }
        return SimulationRun.run(
                item.scenario(),
                item.seed(),
                item.durationSeconds(),
                variant.settings(),
                variant.name(),
                cluster -> Strategies.factory(variant.strategy(), cluster),
                stop);
    }
}
