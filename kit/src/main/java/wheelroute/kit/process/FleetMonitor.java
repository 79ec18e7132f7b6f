package wheelroute.kit.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import wheelroute.kit.model.SeededRandom;

/**
 * Connects clients to the dispatchers' processes as these start and end, and informs the auditors
 * of their states.
 */
final class FleetMonitor implements FleetListener {
    private final RunEnvironment environment;
    private final ScenarioBehavior behavior;
    private final Consumer<String> onFailure;

    FleetMonitor(RunEnvironment environment, SeededRandom random, Consumer<String> onFailure) {
        this.environment = environment;
        this.onFailure = onFailure;
        behavior = new ScenarioBehavior(environment.scenario.clients(), random);
    }

    @Override
    public void onReady(int dispatcher, InetSocketAddress clients) {
        ClientTransport transport = environment.transport;
        InetSocketAddress address;
        try {
            address = environment.links.linkToClients(dispatcher, clients);
        } catch (IOException e) {
            onFailure(
                    "relay for clients of dispatcher n"
                            + dispatcher
                            + " cannot listen: "
                            + e.getMessage());
            return;
        }
        ClientPool pool = new ClientPool(environment.loop, address, environment.clients, behavior);
        environment.auditor.onDispatcherStarted(dispatcher);
        transport.open(dispatcher, pool);
        if (transport.haveAllBeenOpen()) {
            environment.allReady.complete(null);
        }
    }

    @Override
    public void onStarted(int dispatcher, DaemonProcess process) {
        environment.metricsAuditor.onProcessStarted(dispatcher, process);
    }

    @Override
    public void onEnded(int dispatcher, DaemonProcess process) {
        environment.metricsAuditor.onProcessEnded(dispatcher, process);
    }

    @Override
    public void onPartialOutage(int dispatcher, boolean begins) {
        // Marks all connections, because only the kernel knows which of them belong to the process.
        environment.auditor.setHandoverDisrupted(dispatcher, begins);
        environment.transport.onConnectionsBroken(dispatcher);
        environment.metricsAuditor.suspendChecks(dispatcher);
    }

    @Override
    public void onStopped(int dispatcher) {
        environment.transport.stopListening(dispatcher);
        environment.auditor.onDispatcherStopped(dispatcher);
    }

    @Override
    public void onCrash(int dispatcher, String logExcerpt) {
        environment.auditor.onCrash(dispatcher, logExcerpt);
    }

    @Override
    public void onFailure(String reason) {
        onFailure.accept(reason);
    }
}
