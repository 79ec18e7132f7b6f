package wheelroute.decision.estimates;

import wheelroute.decision.LoadReport;
import wheelroute.decision.Settings;
import wheelroute.decision.state.Attempt;
import wheelroute.decision.state.WorkerState;

/**
 * Estimates of one worker: its speed, its slots, and how long a job waits before its start.
 * Contains no decision logic.
 */
public final class WorkerEstimates {
    /** Memory over which speeds and waits are smoothed. */
    static final double MEMORY_SECONDS = 5;

    /**
     * Memory of the waits that may justify a rejection. It is shorter than {@link #MEMORY_SECONDS}
     * because queues drain faster than averages over that memory decay.
     */
    static final double RECENT_MEMORY_SECONDS = 1.5;

    /**
     * Weight of the mean wait of the model, in samples of the worker's own waits. The mean of the
     * model is included because a single long job can distort the worker's own waits.
     */
    private static final double MODEL_PRIOR_SAMPLES = 4;

    /**
     * Number of jobs of mean size after which a worker's own runs weigh as much as the speed of its
     * model.
     */
    private static final double PRIOR_JOBS = 2;

    /** Maximum number of assumed slots, so that a wrong load report cannot cost much CPU time. */
    private static final int MAX_SLOTS = 64;

    /**
     * Minimum time since its start for a job to count as running at the same time as others,
     * because the message about the end of an earlier job may arrive late.
     */
    private static final double SETTLING_SECONDS = 0.05;

    private final WorkerState worker;
    private final Settings settings;
    private final TrafficStatistics traffic;
    private final SlotSchedule schedule = new SlotSchedule();
    private final Candidate candidate;

    /** Creates the estimates of one worker, which are computed from the state of the worker. */
    public WorkerEstimates(WorkerState worker, Settings settings, TrafficStatistics traffic) {
        this.worker = worker;
        this.settings = settings;
        this.traffic = traffic;
        candidate = new Candidate(worker);
    }

    /** Returns how many jobs the worker runs at the same time, 1 or more. */
    public int slots() {
        return Math.min(MAX_SLOTS, Math.max(1, worker.model().slots()));
    }

    /**
     * Returns the work that one slot of the worker does in a second. For a worker without measured
     * runs this is the speed of its model; with more runs it approaches the speed of those.
     */
    public double speed(double now) {
        return speed(now, rampFraction(now));
    }

    private double speed(double now, double rampFraction) {
        double prior = PRIOR_JOBS * traffic.meanWork();
        double priorWork = prior * worker.model().speed();
        return worker.statistics()
                .smoothedSpeed(now, MEMORY_SECONDS, priorWork, prior, rampFraction);
    }

    /**
     * Returns the minimum fraction of its capacity that the worker has at a time. The fraction
     * grows at least linearly during slow start and is 1 afterwards.
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

    /** Returns the current estimates of the worker for a request that needs this many slots. */
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
     * Returns the expected wait for jobs of other dispatchers, in seconds, based on recent waits
     * only.
     */
    public double recentExternalWait(double now) {
        return externalWait(
                now, rampFraction(now), RECENT_MEMORY_SECONDS, worker.model().recentExternalWait());
    }

    /**
     * Returns the expected wait that this dispatcher's own attempts do not explain, in seconds.
     * Jobs of other dispatchers cause that wait, which shows in how late this dispatcher's own
     * attempts start.
     *
     * @param modelMean the mean unexplained wait of the worker's model
     */
    private double externalWait(
            double now, double rampFraction, double memorySeconds, double modelMean) {
        // A worker in slow start gets few requests and therefore has no queue, whatever the mean of
        // its model is. A warm worker gets the mean of its model: otherwise all dispatchers would
        // prefer the workers that have just warmed up.
        double prior = rampFraction < 1 ? 0 : MODEL_PRIOR_SAMPLES * modelMean;
        double mean =
                worker.statistics().smoothedWait(now, memorySeconds, prior, MODEL_PRIOR_SAMPLES);
        return Math.max(0, Math.max(mean, overdueSeconds(now)));
    }

    /**
     * Returns by how much the first message about the oldest attempt that has not started is
     * overdue, in seconds. This reveals a stalled queue before any start is reported.
     */
    private double overdueSeconds(double now) {
        for (int i = 0; i < worker.inFlight().size(); i++) {
            if (!worker.inFlight().get(i).hasStarted()) {
                return overdueSeconds(worker.inFlight().get(i), now);
            }
        }
        return 0;
    }

    /**
     * Returns by how much the first message about an attempt is overdue, in seconds; negative
     * before the message is due.
     */
    private double overdueSeconds(Attempt attempt, double now) {
        return attempt.unexplainedWait(now) - settings.startNoticeDelaySeconds();
    }

    /**
     * Records the slots of the jobs that run at the same time now, which a worker of the model must
     * therefore have.
     */
    public void recordRunningJobs(double now) {
        int running = 0;
        for (Attempt attempt : worker.inFlight()) {
            boolean counts = attempt.hasStarted() && now - attempt.startedAt() > SETTLING_SECONDS;
            running += counts ? (int) attempt.request().slots() : 0;
        }
        worker.model().recordObservedSlots(running);
    }

    /**
     * Adds the overdue waits of attempts that have not started to the waits of the model. Without
     * them the mean would include only waits that have ended, which are the shorter ones.
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
     * Records the free slots of a load report. The number of running jobs is not added, because
     * both figures are of different times and their sum would overstate the slots.
     */
    public void recordReport(LoadReport report) {
        if (settings.reportsFreeSlots() && !Double.isNaN(report.freeSlots())) {
            worker.model().recordObservedSlots((int) Math.round(report.freeSlots()));
        }
    }
}
