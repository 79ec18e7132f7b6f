package wheelroute.kit.report;

import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.Ledger;
import wheelroute.kit.scenario.Scenario;
import wheelroute.kit.world.Answer;
import wheelroute.kit.world.Ask;
import wheelroute.kit.world.Clients;
import wheelroute.kit.world.Ending;
import wheelroute.kit.world.Launch;
import wheelroute.kit.world.Submitted;
import wheelroute.kit.world.Timeline;
import wheelroute.kit.world.Witness;
import wheelroute.kit.world.WorkerModel;
import wheelroute.kit.world.World;

/** Hears clients and workers, for the tally and the auditor; the same under both clocks. */
public final class Recorder implements Clients.Observer, Witness {
    private final Tally tally;
    private final Auditor auditor;
    private final Ledger ledger;
    private final Timeline timeline;
    private long submissions;
    private long launches;

    /** Without operators' doors. */
    public Recorder(Scenario scenario, Timeline timeline, double seconds, Auditor auditor) {
        this(scenario, timeline, seconds, auditor, new Ledger(timeline, false));
    }

    public Recorder(
            Scenario scenario, Timeline timeline, double seconds, Auditor auditor, Ledger ledger) {
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
    public void begins(World world, Clients clients) {
        tally.beginsAt(timeline.now());
        auditor.beginsNow();
        clients.begin();
        sampleQueues(world, clients);
    }

    /** Looks at the queues now and then, until the asks have ended. */
    private void sampleQueues(World world, Clients clients) {
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
    public void asked(Ask ask) {
        tally.asked(ask);
    }

    @Override
    public void finished(Ask ask, Clients.Result result, double latency) {
        tally.finished(ask, result, latency);
    }

    @Override
    public void sent(Submitted submitted) {
        submissions++;
        auditor.sent(submitted);
        ledger.sent(submitted.dispatcher());
    }

    @Override
    public void answered(Submitted submitted, Answer answer) {
        auditor.answered(submitted, answer);
        ledger.answered(submitted.dispatcher(), submitted.ask().offering().name(), answer);
    }

    @Override
    public void gaveUp(Submitted submitted, boolean ownWish) {
        auditor.gaveUp(submitted, ownWish);
        ledger.unheard(submitted.dispatcher());
    }

    @Override
    public void cutOff(Submitted submitted) {
        auditor.cutOff(submitted);
        ledger.unheard(submitted.dispatcher());
    }

    @Override
    public void refused(Submitted submitted) {
        auditor.refused(submitted);
        ledger.unheard(submitted.dispatcher());
    }

    @Override
    public void arrived(Launch launch, WorkerModel worker) {
        launches++;
        tally.launched(timeline.now());
        auditor.arrived(launch, worker);
        Submitted submitted = auditor.submitted(launch.submission);
        if (submitted != null) {
            ledger.launched(submitted.dispatcher());
        }
    }

    @Override
    public void began(Launch launch, WorkerModel worker) {
        auditor.began(launch, worker);
    }

    @Override
    public void ended(Launch launch, WorkerModel worker, Ending ending, boolean told) {
        auditor.ended(launch, worker, ending, told);
    }

    @Override
    public void fell(WorkerModel worker) {
        auditor.fell(worker);
    }
}
