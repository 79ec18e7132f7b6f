package wheelroute.kit.simulation;

import wheelroute.decision.LoadReport;
import wheelroute.decision.Outcome;
import wheelroute.kit.audit.Auditor;
import wheelroute.kit.faults.LinkState;
import wheelroute.kit.model.AttemptEnding;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.model.WorkerAttempt;
import wheelroute.kit.model.WorkerModel;
import wheelroute.kit.scenario.Scenario;

/** One attempt of a simulated dispatcher at a worker, on a connection of its own. */
final class SimulatedAttempt implements WorkerAttempt.Reply, SimulatedLink.Connection {
    private final SimulatedDispatcher dispatcher;
    private final SimulatedRequest request;
    private final int number;
    private final WorkerModel worker;
    private final Auditor auditor;
    private final SimulatedNetwork network;
    private final SimulatedProcess process;
    private final int startIncarnation;
    private final SimulatedLink link;

    /** The attempt as the worker sees it; null until it has arrived there. */
    private WorkerAttempt workerAttempt;

    private boolean isEnded;

    /** Whether the connection is closed or broken, so that no message passes either way. */
    private boolean isClosed;

    /**
     * Creates an attempt that is not yet sent.
     *
     * @param number index of the attempt within its request, from 0
     */
    SimulatedAttempt(
            SimulatedDispatcher dispatcher,
            SimulatedRequest request,
            int number,
            WorkerModel worker,
            Auditor auditor) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.number = number;
        this.worker = worker;
        this.auditor = auditor;
        network = dispatcher.network();
        process = dispatcher.process();
        startIncarnation = process.incarnation();
        link = network.toWorker(worker.number);
    }

    /** Sends the attempt. The connect fails if the worker is down when the attempt arrives. */
    void send() {
        if (link.state().refuses()) {
            network.transmit(() -> receive(() -> end(Outcome.CONNECT_FAILED, Double.NaN)));
            return;
        }
        link.add(this);
        network.transmit(
                link.state(), () -> link.sendOutbound(this::onArrivalAtWorker, () -> !isClosed));
    }

    private void onArrivalAtWorker() {
        if (isClosed && !link.state().equals(LinkState.OPEN)) {
            // The attempt was reset in transit, or cancelled while the link was impaired.
            return;
        }
        if (!worker.isUp()) {
            sendBack(() -> end(Outcome.CONNECT_FAILED, Double.NaN));
            return;
        }
        Scenario.RequestClass requestClass = request.clientAttempt().request().requestClass();
        workerAttempt =
                new WorkerAttempt(
                        request.clientAttempt().key(),
                        request.clientAttempt().request().workSeconds(),
                        requestClass.slots(),
                        requestClass.memory(),
                        this);
        worker.accept(workerAttempt);
        if (isEnded) {
            closeAtWorker();
        }
    }

    /** Sends an event from the worker to the dispatcher, over the link of the attempt. */
    private void sendBack(Runnable event) {
        network.transmit(
                link.state(), () -> link.sendInbound(() -> receive(event), () -> !isClosed));
    }

    private void receive(Runnable event) {
        if (isCurrent()) {
            process.receive(
                    () -> {
                        if (isCurrent()) {
                            event.run();
                        }
                    });
        }
    }

    private boolean isCurrent() {
        return startIncarnation == process.incarnation();
    }

    @Override
    public void onStarted() {
        sendBack(
                () -> {
                    if (!isEnded) {
                        dispatcher.handleEvent(() -> request.handle().onStarted(number));
                    }
                });
    }

    @Override
    public void onProgress(double fraction) {
        sendBack(
                () -> {
                    if (!isEnded) {
                        dispatcher.handleEvent(() -> request.handle().onProgress(number, fraction));
                    }
                });
    }

    @Override
    public void onEnded(AttemptEnding ending, double freeSlots) {
        sendBack(() -> end(outcome(ending), freeSlots));
    }

    private static Outcome outcome(AttemptEnding ending) {
        return switch (ending) {
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case FAILED -> Outcome.FAILED;
            case RETURNED, REJECTED -> Outcome.REJECTED;
            case CONNECTION_LOST -> Outcome.CONNECTION_LOST;
        };
    }

    private void end(Outcome outcome, double freeSlots) {
        if (isEnded || !isCurrent()) {
            return;
        }
        isEnded = true;
        link.remove(this);
        dispatcher.handleEvent(
                () -> {
                    // As in the daemon, the client gets its response before the strategy learns
                    // that the attempt has ended.
                    if (outcome == Outcome.SUCCEEDED) {
                        request.respond(FinalResponse.SUCCEEDED, 0);
                    }
                    LoadReport report = new LoadReport(freeSlots);
                    request.handle().onEnded(number, outcome, request.isAnswered(), report);
                    request.closeIfComplete();
                });
    }

    void cancel() {
        abort(Outcome.CANCELLED);
    }

    /** Closes the connection and ends the attempt with an outcome, unless it has ended. */
    void abort(Outcome outcome) {
        if (!isEnded) {
            close();
            end(outcome, Double.NaN);
        }
    }

    /** Resets the connection for both sides. The worker may have run what was sent. */
    @Override
    public void reset() {
        isClosed = true;
        if (workerAttempt != null) {
            closeAtWorker();
        }
        network.transmit(() -> receive(() -> end(Outcome.CONNECTION_LOST, Double.NaN)));
    }

    /** Closes the connection; the worker notices after the link's delay. */
    void close() {
        isClosed = true;
        link.remove(this);
        if (workerAttempt != null) {
            auditor.onClosed(workerAttempt);
            network.transmit(() -> link.sendOutbound(this::closeAtWorker, () -> true));
        }
    }

    private void closeAtWorker() {
        auditor.onClosed(workerAttempt);
        worker.cancel(workerAttempt);
    }
}
