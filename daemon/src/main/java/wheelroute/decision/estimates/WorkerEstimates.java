package wheelroute.decision.estimates;

import wheelroute.decision.LoadReport;
import wheelroute.decision.Settings;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.WorkerState;

/**
 * What is estimated of one worker: its speed, its slots, and how long a job waits there before it
 * starts. Figures only; nothing is decided here.
 */
public final class WorkerEstimates {
    /** Speeds and waits are smoothed over this long. */
    static final double MEMORY_SECONDS = 5;

    /**
     * The memory of waits that may justify a rejection: queues drain faster than averages over
     * {@link #MEMORY_SECONDS} decay.
     */
    static final double RECENT_MEMORY_SECONDS = 1.5;

    /**
     * The mean wait of its model weighs as much as this many of a worker's own waits, because a
     * single long job can distort those.
     */
    private static final double MODEL_PRIOR_SAMPLES = 4;

    /** A worker's own runs weigh as much as its model's after this many jobs of mean size. */
    private static final double PRIOR_JOBS = 2;

    /** The most slots that are assumed, so that a wrong load report cannot cost much CPU time. */
    private static final int MAX_SLOTS = 64;

    /**
     * A job counts as running beside others only this long after its start, as a message about the
     * end of an earlier job may arrive late.
     */
    private static final double SETTLING_SECONDS = 0.05;

    private final WorkerState worker;
    private final Settings settings;
    private final TrafficStatistics traffic;
    private final SlotSchedule schedule = new SlotSchedule();
    private final Candidate candidate;

    /** Creates the estimates of one worker. */
    public WorkerEstimates(WorkerState worker, Settings settings, TrafficStatistics traffic) {
        this.worker = worker;
        this.settings = settings;
        this.traffic = traffic;
        candidate = new Candidate(worker);
    }

    /** Returns how many jobs it runs at the same time, from 1. */
    public int slots() {
        return Math.min(MAX_SLOTS, Math.max(1, worker.model().slots()));
    }

    /**
     * Returns the work that a slot does in a second. A worker new to this dispatcher begins at its
     * model's speed and approaches that of its own runs.
     */
    public double speed(double now) {
        return speed(now, rampFraction(now));
    }

    private double speed(double now, double rampFraction) {
        double prior = PRIOR_JOBS * traffic.meanWork();
        double priorWork = prior * worker.model().speed();
        return worker.statistics()
                .runs
                .decayedRatio(now, MEMORY_SECONDS, priorWork, prior, rampFraction);
    }

    /**
     * Returns the fraction of its capacity that it has at least: in slow start it warms up no more
     * slowly than linearly; 1 afterwards.
     */
    public double rampFraction(double time) {
        double ageSeconds = time - worker.endpoint().startedAt();
        if (!(ageSeconds < settings.slowStartDurationSeconds())) {
            return 1;
        }
        return settings.slowStartShare()
                + (1 - settings.slowStartShare())
                        * Math.max(0, ageSeconds)
                        / settings.slowStartDurationSeconds();
    }

    /** Returns the worker as estimated for a request that needs so many slots. */
    Candidate candidateFor(double slotsNeeded, double now) {
        double rampFraction = rampFraction(now);
        double externalWait =
                externalWait(now, rampFraction, MEMORY_SECONDS, worker.model().externalWait());
        double speed = speed(now, rampFraction);
        int slots = slots();
        double ownWait = 0;
        double scheduled = 0;
        if (!worker.inFlight().isEmpty()) {
            scheduleInFlight(slots, speed, now);
            ownWait = schedule.secondsUntilStart(slotsNeeded);
            scheduled = schedule.totalSeconds();
        }
        candidate.fill(slots, speed, ownWait, externalWait, scheduled);
        return candidate;
    }

    void setAffinityRank(int rank) {
        candidate.setAffinityRank(rank);
    }

    private void scheduleInFlight(int slots, double speed, double now) {
        schedule.reset(slots);
        for (int i = 0; i < worker.inFlight().size(); i++) {
            Attempt attempt = worker.inFlight().get(i);
            schedule.occupy(attempt.request().slots(), attempt.remainingSeconds(now, speed));
        }
    }

    /**
     * Returns the external wait by recent evidence alone: seconds of waiting for jobs of other
     * dispatchers.
     */
    public double recentExternalWait(double now) {
        return externalWait(
                now, rampFraction(now), RECENT_MEMORY_SECONDS, worker.model().recentExternalWait());
    }

    /**
     * Returns the seconds of waiting that this dispatcher's own attempts do not explain: jobs of
     * other dispatchers, observed in how late its own attempts start.
     *
     * @param modelMean the mean of the worker's model
     */
    private double externalWait(
            double now, double rampFraction, double memorySeconds, double modelMean) {
        // A worker in slow start gets little, so it has no queue, whatever its model's mean is. One
        // that is warm gets its model's mean, or all would prefer those that have just warmed up.
        double prior = rampFraction < 1 ? 0 : MODEL_PRIOR_SAMPLES * modelMean;
        double mean =
                worker.statistics()
                        .waits
                        .decayedMeanOfFirst(now, memorySeconds, prior, MODEL_PRIOR_SAMPLES);
        return Math.max(0, Math.max(mean, overdueSeconds(now)));
    }

    /** The oldest attempt that has not started shows a stalled queue before any start could. */
    private double overdueSeconds(double now) {
        for (int i = 0; i < worker.inFlight().size(); i++) {
            if (!worker.inFlight().get(i).hasStarted()) {
                return overdueSeconds(worker.inFlight().get(i), now);
            }
        }
        return 0;
    }

    /** How long the first message about an attempt is overdue; negative before it is due. */
    private double overdueSeconds(Attempt attempt, double now) {
        return attempt.unexplainedWait(now) - settings.startNoticeDelaySeconds();
    }

    /** Counts the jobs that are seen running at the same time, which its model has slots for. */
    public void recordRunningJobs(double now) {
        int running = 0;
        for (Attempt attempt : worker.inFlight()) {
            boolean counts = attempt.hasStarted() && now - attempt.startedAt() > SETTLING_SECONDS;
            running += counts ? (int) attempt.request().slots() : 0;
        }
        worker.model().noteSlots(running);
    }

    /**
     * Adds the waits of attempts that have not started to those of the model: without them only the
     * shorter waits, which have ended, would count.
     */
    public void recordOverdueWaits(double now) {
        for (int i = 0; i < worker.inFlight().size(); i++) {
            Attempt attempt = worker.inFlight().get(i);
            if (!attempt.hasStarted()) {
                ModelStatistics model = worker.model();
                model.addOverdueWait(
                        Math.max(0, overdueSeconds(attempt, now) - model.externalWait()));
            }
        }
    }

    /**
     * Records the free slots of a load report. Running jobs are not added: both figures are of
     * different times, and their sum would overstate the slots.
     */
    public void recordReport(LoadReport report) {
        if (settings.reportsFreeSlots() && !Double.isNaN(report.freeSlots())) {
            worker.model().noteSlots((int) Math.round(report.freeSlots()));
        }
    }
}
