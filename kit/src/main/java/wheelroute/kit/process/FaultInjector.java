package wheelroute.kit.process;

import wheelroute.kit.audit.Auditor;
import wheelroute.kit.audit.MetricsAuditor;
import wheelroute.kit.model.ClusterModel;
import wheelroute.kit.scenario.FaultMode;
import wheelroute.kit.scenario.Scenario;

/** Injects a scenario's faults into the dispatchers' processes and links. */
final class FaultInjector implements ClusterModel.DispatcherControl {
    private final RunEnvironment environment;
    private final Fleet fleet;
    private final Auditor auditor;
    private final MetricsAuditor metricsAuditor;
    private final IdleConnectionFlood flood;

    FaultInjector(RunEnvironment environment, IdleConnectionFlood flood) {
        this.environment = environment;
        this.flood = flood;
        fleet = environment.fleet;
        auditor = environment.auditor;
        metricsAuditor = environment.metricsAuditor;
    }

    @Override
    public void setPaused(int dispatcher, boolean begins) {
        if (begins) {
            auditor.onDispatcherPaused(dispatcher);
            metricsAuditor.suspendChecks(dispatcher, true);
            fleet.setPaused(dispatcher, true);
            return;
        }
        fleet.setPaused(dispatcher, false);
        environment.loop.schedule(
                ProcessPauser.RESUME_DELAY_SECONDS,
                () -> {
                    auditor.onDispatcherResumed(dispatcher);
                    metricsAuditor.suspendChecks(dispatcher, false);
                });
    }

    @Override
    public void setLinkFault(Scenario.Fault fault, int dispatcher, int[] targets, boolean begins) {
        environment.links.setFault(fault, dispatcher, targets, begins);
    }

    @Override
    public void limitCpu(int dispatcher, double share) {
        metricsAuditor.suspendChecks(dispatcher, share < 1);
        fleet.limitCpu(dispatcher, share);
    }

    @Override
    public void replace(int dispatcher, FaultMode how, double limit) {
        fleet.replace(dispatcher, how, limit);
    }

    @Override
    public void changeFloodRate(int dispatcher, double rate) {
        flood.changeRate(dispatcher, rate);
    }

    @Override
    public void kill(int dispatcher) {
        environment.transport.stopListening(dispatcher);
        auditor.onDispatcherStopped(dispatcher);
        environment.transport.onKill(dispatcher);
        fleet.kill(dispatcher);
    }

    @Override
    public void terminate(int dispatcher) {
        environment.transport.stopListening(dispatcher);
        fleet.terminate(dispatcher);
    }

    @Override
    public void start(int dispatcher, FaultMode how) {
        fleet.start(dispatcher, how);
    }
}
