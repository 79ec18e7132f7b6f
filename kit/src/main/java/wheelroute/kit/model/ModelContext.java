package wheelroute.kit.model;

import wheelroute.kit.scenario.Scenario;

/** What all workers of a cluster share. */
record ModelContext(
        Timeline timeline,
        Scenario.PlatformTerms terms,
        SeededRandom random,
        EndpointRegistry registry,
        EventListener listener) {}
