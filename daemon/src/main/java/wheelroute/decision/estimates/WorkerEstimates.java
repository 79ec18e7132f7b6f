package wheelroute.decision.estimates;

import java.util.Arrays;
import wheelroute.decision.LoadReport;
import wheelroute.decision.Settings;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.WorkerState;

/**
 * What is estimated of one worker: its speed, its slots, and how long a job waits there before it
 * starts. Figures only; nothing is decided here. All times in seconds.
 */
public final class WorkerEstimates {
    /**
     * Speeds and waits are smoothed over this long: shorter follows single jobs, longer misses
     * changes.
     */
    static final double MEMORY = 5;

    /**
     * Its model's mean wait weighs as much as this many of a worker's own, which one job can spoil.
     */
    public static final double WAIT_PRIOR = 4;

    /** A worker's own record weighs as much as the others' after this many jobs of mean size. */
    private static final double PRIOR_JOBS = 2;

    /**
     * No worker is taken to have more slots, whatever a load report says: the arithmetic is
     * bounded.
     */
    private static final int MAX_SLOTS = 64;

    /** A start this old has seen every earlier end arrive: well over the jitter of a message. */
    private static final double SETTLED = 0.05;

    private final WorkerState worker;
    private final DispatcherState state;
    private double[] slotFreeAt = new double[1];
    private double currentSpeed;
    private double ownWait;
    private double expectedWait;
    private double backlog;

    /** Creates the estimates of one worker. */
    public WorkerEstimates(WorkerState worker, DispatcherState state) {
        this.worker = worker;
        this.state = state;
    }

    /** Jobs that it runs at the same time, from 1. */
    public int slots() {
        return Math.min(MAX_SLOTS, Math.max(1, worker.model().slots()));
    }

    /**
     * Work that a slot does in a second. A worker new to this dispatcher begins at its model's
     * speed and nears its own record.
     */
    public double speed() {
        double prior = PRIOR_JOBS * state.traffic().meanWork();
        SampleWindow runs = worker.statistics().runs;
        runs.computeDecayedSums(state.now(), MEMORY);
        return warmth(state.now())
                * (prior * worker.model().speed() + runs.decayedFirst())
                / (prior + runs.decayedSecond());
    }

    /** The fraction of its capacity that it has at least: it warms up no slower than evenly. */
    public double warmth(double time) {
        Settings settings = state.settings();
        double age = time - worker.endpoint().startedAt();
        if (!(age < settings.slowStartDurationSeconds())) {
            return 1;
        }
        return settings.slowStartShare()
                + (1 - settings.slowStartShare())
                        * Math.max(0, age)
                        / settings.slowStartDurationSeconds();
    }

    /**
     * Works out speed, waits and backlog, for a choice of a worker and the attempt that follows.
     */
    void refresh(double slotsNeeded) {
        double external = externalWait(MEMORY, worker.model().externalWait());
        currentSpeed = speed();
        boolean idle = worker.inFlight().isEmpty();
        ownWait = idle ? 0 : waitBehindOwn(slotsNeeded);
        expectedWait = ownWait + external;
        double sum = 0;
        for (int i = 0; !idle && i < slots(); i++) {
            sum += slotFreeAt[i];
        }
        backlog = sum / slots() + external;
    }

    /** As of the last refresh. */
    public double currentSpeed() {
        return currentSpeed;
    }

    /** How long a job would wait behind this dispatcher's attempts, as of the last refresh. */
    public double ownWait() {
        return ownWait;
    }

    /** How long a job would wait in all, as of the last refresh. */
    public double expectedWait() {
        return expectedWait;
    }

    /** Mean time until a slot is free, as of the last refresh. */
    public double backlog() {
        return backlog;
    }

    /** How long until a job starts that comes after all attempts in flight. */
    private double waitBehindOwn(double slotsNeeded) {
        int count = slots();
        if (slotFreeAt.length < count) {
            slotFreeAt = new double[count];
        }
        Arrays.fill(slotFreeAt, 0);
        for (int i = 0; i < worker.inFlight().size(); i++) {
            Attempt attempt = worker.inFlight().get(i);
            occupy(attempt.request.slots(), attempt.remaining(state.now(), currentSpeed));
        }
        return slotFreeAt[startingSlot(slotsNeeded)];
    }

    /**
     * The slot whose freeing lets a job start; the slots that it takes with it come before that
     * one.
     */
    private int startingSlot(double slotsNeeded) {
        int count = slots();
        if (slotsNeeded > 1) {
            Arrays.sort(slotFreeAt, 0, count);
            return Math.min(count, (int) Math.ceil(slotsNeeded)) - 1;
        }
        int first = 0;
        for (int i = 1; i < count; i++) {
            first = slotFreeAt[i] < slotFreeAt[first] ? i : first;
        }
        return first;
    }

    private void occupy(double slotsNeeded, double run) {
        int last = startingSlot(slotsNeeded);
        slotFreeAt[last] += run;
        for (int i = 0; slotsNeeded > 1 && i < last; i++) {
            slotFreeAt[i] = slotFreeAt[last];
        }
    }

    /**
     * Waiting that this dispatcher's own attempts do not explain: others' work, seen in how late
     * its own attempts start.
     *
     * @param usual the mean of the worker's model
     */
    public double externalWait(double memory, double usual) {
        // A cold worker is spared, so it has no queue, however long its model's are. A warm one has
        // one, or all would turn to those that have just become warm.
        double prior = warmth(state.now()) < 1 ? 0 : WAIT_PRIOR * usual;
        SampleWindow waits = worker.statistics().waits;
        waits.computeDecayedSums(state.now(), memory);
        double mean = (prior + waits.decayedFirst()) / (WAIT_PRIOR + waits.decayedWeight());
        return Math.max(0, Math.max(mean, overdue()));
    }

    /** An attempt that still waits tells of a stopped queue before any start could. */
    private double overdue() {
        for (int i = 0; i < worker.inFlight().size(); i++) {
            if (!worker.inFlight().get(i).hasStarted()) {
                return overdue(worker.inFlight().get(i));
            }
        }
        return 0;
    }

    /**
     * How far an attempt that has not started is past the first message due of it; below 0 before.
     */
    private double overdue(Attempt attempt) {
        return attempt.unexplainedWait(state.now()) - state.settings().startNoticeDelaySeconds();
    }

    /**
     * Counts the jobs seen running at once: slots only ever grow, so a start before the end counts
     * late.
     */
    public void noteRunning() {
        int running = 0;
        for (Attempt attempt : worker.inFlight()) {
            boolean counts = attempt.hasStarted() && state.now() - attempt.startedAt() > SETTLED;
            running += counts ? (int) attempt.request.slots() : 0;
        }
        worker.model().noteSlots(running);
    }

    /**
     * Adds to the model's waits those that have not ended: the ones that started were the lucky
     * ones.
     */
    public void noteWaiting() {
        // A silent worker's attempts tell of the worker, not of its model.
        for (int i = 0; i < worker.inFlight().size() && !worker.health().isSilent(); i++) {
            Attempt attempt = worker.inFlight().get(i);
            if (!attempt.hasStarted()) {
                ModelStatistics model = worker.model();
                model.addOverdueWait(Math.max(0, overdue(attempt) - model.externalWait()));
            }
        }
    }

    /** Free slots alone count: running plus free, told of two moments, overstates a worker. */
    public void noteReport(LoadReport report) {
        if (state.settings().reportsFreeSlots() && !Double.isNaN(report.freeSlots())) {
            worker.model().noteSlots((int) Math.round(report.freeSlots()));
        }
    }
}
