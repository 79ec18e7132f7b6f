package wheelroute.kit.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Delivers the events that a worker sends on the connections of its attempts. Attempts whose events
 * are lost in a fault are recorded; their connections are reset when the fault ends.
 */
final class WorkerResponses {
    private final WorkerModel worker;
    private final WorkerFaults faults;
    private final WorkerEventListener listener;

    /** Attempts of which at least one event was lost. */
    private final List<WorkerAttempt> interrupted = new ArrayList<>();

    WorkerResponses(WorkerModel worker, WorkerFaults faults, WorkerEventListener listener) {
        this.worker = worker;
        this.faults = faults;
        this.listener = listener;
    }

    /** Records that an event of an attempt was lost. */
    void markInterrupted(WorkerAttempt attempt) {
        if (!attempt.eventLost) {
            attempt.eventLost = true;
            interrupted.add(attempt);
        }
    }

    /** Delivers an event of an attempt, unless this or an earlier event of it is lost. */
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

    /** Resets the interrupted connections; attempts that still run continue without one. */
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
