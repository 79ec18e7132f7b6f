package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.List;

/**
 * What a worker sends on the connections of its attempts. While responses are lost, the attempts
 * concerned are remembered; their connections are reset once the worker can be reached again.
 */
final class WorkerResponses {
    private final WorkerModel worker;
    private final WorkerFaults faults;
    private final EventListener listener;

    /** Attempts of which at least one event was lost. */
    private final List<WorkerAttempt> interrupted = new ArrayList<>();

    WorkerResponses(WorkerModel worker, WorkerFaults faults, EventListener listener) {
        this.worker = worker;
        this.faults = faults;
        this.listener = listener;
    }

    /** Marks an attempt's connection as one on which an event was lost. */
    void markInterrupted(WorkerAttempt attempt) {
        if (!attempt.eventLost) {
            attempt.eventLost = true;
            interrupted.add(attempt);
        }
    }

    /** Delivers an event, unless it or an earlier one of the attempt is lost. */
    void deliver(WorkerAttempt attempt, Runnable event) {
        if (attempt.cancelled) {
            return;
        }
        if (faults.areResponsesLost()) {
            markInterrupted(attempt);
        } else if (!attempt.eventLost) {
            event.run();
        }
    }

    /** Resets the interrupted connections; what still runs on them continues without one. */
    void resetInterrupted() {
        List<WorkerAttempt> reset = new ArrayList<>(interrupted);
        interrupted.clear();
        for (WorkerAttempt attempt : reset) {
            if (!attempt.cancelled) {
                attempt.cancelled = true;
                listener.onEnded(attempt, worker, AttemptEnding.CONNECTION_LOST, true);
                attempt.reply.onEnded(AttemptEnding.CONNECTION_LOST, Double.NaN);
            }
        }
    }
}
