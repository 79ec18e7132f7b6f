package wheelroute.decision;

import wheelroute.decision.admission.Admission;
import wheelroute.decision.endpoints.EndpointUpdates;
import wheelroute.decision.estimates.AttemptMeasurements;
import wheelroute.decision.estimates.FleetEstimates;
import wheelroute.decision.health.OutlierEjection;
import wheelroute.decision.health.SweepTimer;
import wheelroute.decision.health.UnresponsiveWorkerDetector;
import wheelroute.decision.order.KeyQueues;
import wheelroute.decision.retry.AttemptReplacer;
import wheelroute.decision.retry.ErrorAttribution;
import wheelroute.decision.retry.HedgingBudget;
import wheelroute.decision.retry.RetryRules;
import wheelroute.decision.routing.AdmittanceCostInputs;
import wheelroute.decision.routing.AttemptSender;
import wheelroute.decision.routing.RequestPlacer;
import wheelroute.decision.routing.WorkerEligibility;
import wheelroute.decision.routing.WorkerSelector;
import wheelroute.decision.slowstart.SlowStart;
import wheelroute.decision.state.DispatcherState;
import wheelroute.decision.state.LearnedStateTransfer;

/**
 * The components that make the decisions of one dispatcher, connected by {@link #create}. This
 * record itself decides nothing.
 */
record DecisionComponents(
        DispatcherState state,
        RequestPlacer placer,
        AttemptSender sender,
        KeyQueues keyQueues,
        SweepTimer sweepTimer,
        UnresponsiveWorkerDetector detector,
        AttemptReplacer replacer,
        HedgingBudget hedgingBudget,
        EndpointUpdates endpointUpdates,
        AttemptMeasurements measurements,
        OutlierEjection ejection,
        LearnedStateTransfer transfer) {
    static DecisionComponents create(Settings settings, ActionHandler actions) {
        var state = DispatcherState.create(settings);
        var clock = state.clock();
        var workers = state.workers();
        var errors = new ErrorAttribution(clock, state.traffic());
        var retryRules = new RetryRules(clock, settings, state.endpointLease(), errors);
        var ejection = new OutlierEjection(clock, workers, errors, settings.removalIsAdvisory());
        var fleet = new FleetEstimates(clock, workers, state.traffic(), state.cacheMissCost());
        var selector = createSelector(settings, state, fleet, retryRules, ejection);
        var sweepTimer = new SweepTimer(clock, actions);
        var sender = new AttemptSender(clock, actions, workers, sweepTimer, settings.mayCancel());
        var admission = createAdmission(settings, state);
        var placer = new RequestPlacer(settings, retryRules, selector, admission, sender, actions);
        var hedgingBudget = new HedgingBudget();
        var replacer = new AttemptReplacer(retryRules, placer, selector, sender, hedgingBudget);
        return new DecisionComponents(
                state,
                placer,
                sender,
                createKeyQueues(settings, state, fleet, placer, actions),
                sweepTimer,
                new UnresponsiveWorkerDetector(clock, settings, workers, ejection, replacer),
                replacer,
                hedgingBudget,
                createEndpointUpdates(settings, state, ejection),
                createMeasurements(settings, state),
                ejection,
                createTransfer(settings, state, ejection));
    }

    private static WorkerSelector createSelector(
            Settings settings,
            DispatcherState state,
            FleetEstimates fleet,
            RetryRules retryRules,
            OutlierEjection ejection) {
        var clock = state.clock();
        var traffic = state.traffic();
        var dispatchers = state.dispatchers();
        var slowStart =
                new SlowStart(clock, settings.overloadWindowSeconds(), traffic, dispatchers);
        return new WorkerSelector(
                clock,
                fleet,
                new WorkerEligibility(clock, retryRules, slowStart, ejection),
                new AdmittanceCostInputs(
                        settings, traffic, dispatchers, state.cacheMissCost(), ejection),
                state.random());
    }

    private static Admission createAdmission(Settings settings, DispatcherState state) {
        return new Admission(
                state.clock(),
                settings,
                state.requestClasses().values(),
                state.traffic(),
                state.cacheMissCost());
    }

    private static KeyQueues createKeyQueues(
            Settings settings,
            DispatcherState state,
            FleetEstimates fleet,
            RequestPlacer placer,
            ActionHandler actions) {
        return new KeyQueues(
                state.clock(),
                settings.keyQuietPeriodSeconds(),
                state.keyQueues(),
                fleet,
                placer,
                actions);
    }

    private static EndpointUpdates createEndpointUpdates(
            Settings settings, DispatcherState state, OutlierEjection ejection) {
        return new EndpointUpdates(
                state.clock(),
                settings.zone(),
                state.workers(),
                state.affinity(),
                state.random(),
                ejection);
    }

    private static AttemptMeasurements createMeasurements(
            Settings settings, DispatcherState state) {
        return new AttemptMeasurements(
                state.clock(), settings, state.traffic(), state.cacheMissCost());
    }

    private static LearnedStateTransfer createTransfer(
            Settings settings, DispatcherState state, OutlierEjection ejection) {
        return new LearnedStateTransfer(
                state.clock(),
                state.workers(),
                state.requestClasses(),
                ejection,
                settings.reportsStart());
    }
}
