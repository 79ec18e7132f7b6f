package wheelroute.kit.report;

import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.ClientRequest;
import wheelroute.kit.model.Clients;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.Timeline;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.model.WorkerEventListener;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** Forwards the events of clients and workers to the tally and the auditors, on both clocks. */
public final class Recorder implements Clients.Observer, WorkerEventListener {
    private final Tally tally;
    private final Auditor auditor;
    private final MetricsAuditor metricsAuditor;
    private final Timeline timeline;
    private long clientAttemptCount;
    private long workerAttemptCount;

    /** Creates a recorder of a run whose dispatchers have no admin servers. */
    public Recorder(Scenario scenario, Timeline timeline, double seconds, Auditor auditor) {
        this(scenario, timeline, seconds, auditor, new MetricsAuditor(timeline, false));
    }

    /**
     * Creates a recorder of one run.
     *
     * @param seconds for how long requests arrive
     */
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

    /** Returns the counts so far, which later events update. */
    public Tally tally() {
        return tally;
    }

    /** Returns the number of attempts at workers for each attempt of a client. */
    public double attemptsPerRequest() {
        return (double) workerAttemptCount / Math.max(1, clientAttemptCount);
    }

    /** Starts the clients, and samples the workers' queues until the clients have ended. */
    public void start(ClusterModel cluster, Clients clients) {
        tally.startAt(timeline.now());
        auditor.start();
        clients.start();
        sampleQueues(cluster, clients);
    }

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
    public void onFinished(ClientRequest request, Clients.Result result, double latencySeconds) {
        tally.onFinished(request, result, latencySeconds);
    }

    @Override
    public void onSent(ClientAttempt clientAttempt) {
        clientAttemptCount++;
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
    public void onAbandoned(ClientAttempt clientAttempt, boolean cancelled) {
        auditor.onAbandoned(clientAttempt, cancelled);
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
        workerAttemptCount++;
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
            WorkerAttempt attempt, WorkerModel worker, AttemptEnding ending, boolean delivered) {
        auditor.onEnded(attempt, worker, ending, delivered);
    }

    @Override
    public void onCollapsed(WorkerModel worker) {
        auditor.onCollapsed(worker);
    }
}
