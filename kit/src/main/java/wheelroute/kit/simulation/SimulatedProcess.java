package wheelroute.kit.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import wheelroute.kit.model.Timeline;

/**
 * The process of a simulated dispatcher: its incarnations, and pauses during which timers and input
 * wait.
 */
final class SimulatedProcess {
    private final Timeline timeline;
    private final Deque<Runnable> timersDuringPause = new ArrayDeque<>();
    private final Deque<Runnable> inputDuringPause = new ArrayDeque<>();
    private int incarnation;
    private boolean isPaused;

    SimulatedProcess(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Changes whenever the process starts or is killed. */
    int incarnation() {
        return incarnation;
    }

    void start() {
        incarnation++;
    }

    /** Drops all timers and all input that waits for the end of a pause. */
    void kill() {
        incarnation++;
        isPaused = false;
        timersDuringPause.clear();
        inputDuringPause.clear();
    }

    /** Pauses or resumes the process, which then runs what has waited before this returns. */
    void setPaused(boolean paused) {
        isPaused = paused;
        // As in the daemon's event loop, timers that are due run before any input is read.
        while (!isPaused && !(timersDuringPause.isEmpty() && inputDuringPause.isEmpty())) {
            (timersDuringPause.isEmpty() ? inputDuringPause : timersDuringPause).pollFirst().run();
        }
    }

    /** Runs a task after a delay, unless the process was killed or restarted meanwhile. */
    void schedule(double delaySeconds, Runnable task) {
        int scheduledIn = incarnation;
        timeline.schedule(
                delaySeconds,
                () -> {
                    if (scheduledIn != incarnation) {
                        return;
                    }
                    if (isPaused) {
                        timersDuringPause.addLast(task);
                    } else {
                        task.run();
                    }
                });
    }

    /** Handles input from outside the process. */
    void receive(Runnable event) {
        if (isPaused) {
            inputDuringPause.addLast(event);
        } else {
            event.run();
        }
    }
}
