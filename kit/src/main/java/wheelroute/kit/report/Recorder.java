package wheelroute.kit.report;

import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.EventListener;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.Timeline;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** Hears clients and workers, for the tally and the auditor; the same under both clocks. */
public final class Recorder implements Clients.Observer, EventListener {
    private final Tally tally;
    private final Auditor auditor;
    private final MetricsAuditor ledger;
    private final Timeline timeline;
    private long submissions;
    private long launches;

    /** Without operators' doors. */
    public Recorder(Scenario scenario, Timeline timeline, double seconds, Auditor auditor) {
        this(scenario, timeline, seconds, auditor, new MetricsAuditor(timeline, false));
    }

    public Recorder(
            Scenario scenario,
            Timeline timeline,
            double seconds,
            Auditor auditor,
            MetricsAuditor ledger) {
        this.timeline = timeline;
        this.auditor = auditor;
        this.ledger = ledger;
        tally = new Tally(scenario, seconds);
    }

    public Tally tally() {
        return tally;
    }

    public double launchesPerSubmission() {
        return (double) launches / Math.max(1, submissions);
    }

    /** The first ask goes now. */
    public void begins(ClusterModel world, Clients clients) {
        tally.beginsAt(timeline.now());
        auditor.beginsNow();
        clients.begin();
        sampleQueues(world, clients);
    }

    /** Looks at the queues now and then, until the asks have ended. */
    private void sampleQueues(ClusterModel world, Clients clients) {
        tally.sample(world);
        timeline.after(
                tally.step(),
                () -> {
                    if (!clients.isOver()) {
                        sampleQueues(world, clients);
                    }
                });
    }

    @Override
    public void asked(ClientRequest ask) {
        tally.asked(ask);
    }

    @Override
    public void finished(ClientRequest ask, Clients.Result result, double latency) {
        tally.finished(ask, result, latency);
    }

    @Override
    public void sent(ClientAttempt submitted) {
        submissions++;
        auditor.sent(submitted);
        ledger.sent(submitted.dispatcher());
    }

    @Override
    public void answered(ClientAttempt submitted, FinalResponse answer) {
        auditor.answered(submitted, answer);
        ledger.answered(submitted.dispatcher(), submitted.ask().offering().name(), answer);
    }

    @Override
    public void gaveUp(ClientAttempt submitted, boolean ownWish) {
        auditor.gaveUp(submitted, ownWish);
        ledger.unheard(submitted.dispatcher());
    }

    @Override
    public void cutOff(ClientAttempt submitted) {
        auditor.cutOff(submitted);
        ledger.unheard(submitted.dispatcher());
    }

    @Override
    public void refused(ClientAttempt submitted) {
        auditor.refused(submitted);
        ledger.unheard(submitted.dispatcher());
    }

    @Override
    public void arrived(WorkerAttempt launch, WorkerModel worker) {
        launches++;
        tally.launched(timeline.now());
        auditor.arrived(launch, worker);
        ClientAttempt submitted = auditor.submitted(launch.submission);
        if (submitted != null) {
            ledger.launched(submitted.dispatcher());
        }
    }

    @Override
    public void began(WorkerAttempt launch, WorkerModel worker) {
        auditor.began(launch, worker);
    }

    @Override
    public void ended(
            WorkerAttempt launch, WorkerModel worker, AttemptEnding ending, boolean told) {
        auditor.ended(launch, worker, ending, told);
    }

    @Override
    public void fell(WorkerModel worker) {
        auditor.fell(worker);
    }
}
