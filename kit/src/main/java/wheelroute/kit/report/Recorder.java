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
    private final MetricsAuditor metricsAuditor;
    private final Timeline timeline;
    private long requestCount;
    private long attemptCount;

    /** Without admin servers. */
    public Recorder(Scenario scenario, Timeline timeline, double seconds, Auditor auditor) {
        this(scenario, timeline, seconds, auditor, new MetricsAuditor(timeline, false));
    }

    /** Makes a recorder of one run. */
    public Recorder(
            Scenario scenario,
            Timeline timeline,
            double seconds,
            Auditor auditor,
            MetricsAuditor metricsAuditor) {
        this.timeline = timeline;
        this.auditor = auditor;
        this.metricsAuditor = metricsAuditor;
        tally = new Tally(scenario, seconds);
    }

    /** What was counted so far. */
    public Tally tally() {
        return tally;
    }

    /** Attempts at workers for each request of a client. */
    public double attemptsPerRequest() {
        return (double) attemptCount / Math.max(1, requestCount);
    }

    /** The first ask goes now. */
    public void start(ClusterModel cluster, Clients clients) {
        tally.startAt(timeline.now());
        auditor.start();
        clients.start();
        sampleQueues(cluster, clients);
    }

    /** Looks at the queues now and then, until the requests have ended. */
    private void sampleQueues(ClusterModel cluster, Clients clients) {
        tally.sample(cluster);
        timeline.schedule(
                tally.sampleIntervalSeconds(),
                () -> {
                    if (!clients.isOver()) {
                        sampleQueues(cluster, clients);
                    }
                });
    }

    @Override
    public void onRequest(ClientRequest request) {
        tally.onRequest(request);
    }

    @Override
    public void onFinished(ClientRequest request, Clients.Result result, double latency) {
        tally.onFinished(request, result, latency);
    }

    @Override
    public void onSent(ClientAttempt clientAttempt) {
        requestCount++;
        auditor.onSent(clientAttempt);
        metricsAuditor.onSent(clientAttempt.dispatcher());
    }

    @Override
    public void onResponse(ClientAttempt clientAttempt, FinalResponse response) {
        auditor.onResponse(clientAttempt, response);
        metricsAuditor.onResponse(
                clientAttempt.dispatcher(),
                clientAttempt.request().requestClass().name(),
                response);
    }

    @Override
    public void onAbandoned(ClientAttempt clientAttempt, boolean ownWish) {
        auditor.onAbandoned(clientAttempt, ownWish);
        metricsAuditor.onResponseLost(clientAttempt.dispatcher());
    }

    @Override
    public void onConnectionLost(ClientAttempt clientAttempt) {
        auditor.onConnectionLost(clientAttempt);
        metricsAuditor.onResponseLost(clientAttempt.dispatcher());
    }

    @Override
    public void onRefused(ClientAttempt clientAttempt) {
        auditor.onRefused(clientAttempt);
        metricsAuditor.onResponseLost(clientAttempt.dispatcher());
    }

    @Override
    public void onArrived(WorkerAttempt attempt, WorkerModel worker) {
        attemptCount++;
        tally.onAttempt(timeline.now());
        auditor.onArrived(attempt, worker);
        ClientAttempt clientAttempt = auditor.clientAttempt(attempt.requestId);
        if (clientAttempt != null) {
            metricsAuditor.onAttempt(clientAttempt.dispatcher());
        }
    }

    @Override
    public void onStarted(WorkerAttempt attempt, WorkerModel worker) {
        auditor.onStarted(attempt, worker);
    }

    @Override
    public void onEnded(
            WorkerAttempt attempt, WorkerModel worker, AttemptEnding ending, boolean told) {
        auditor.onEnded(attempt, worker, ending, told);
    }

    @Override
    public void onCollapsed(WorkerModel worker) {
        auditor.onCollapsed(worker);
    }
}
