package wheelroute.kit.model;

import wheelroute.kit.scenario.Scenario;

/** The objects that all workers of a cluster share. */
record ModelContext(
        Timeline timeline,
        Scenario.PlatformProperties terms,
        SeededRandom random,
        EndpointRegistry registry,
        WorkerEventListener listener) {}
