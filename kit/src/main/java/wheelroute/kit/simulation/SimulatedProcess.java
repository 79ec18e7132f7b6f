package wheelroute.kit.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import wheelroute.kit.model.Timeline;

/**
 * The process of a simulated dispatcher. It can be killed, restarted and paused; due timers and
 * input wait until the end of a pause.
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

    /** Returns a number that changes whenever the process starts or is killed. */
    int incarnation() {
        return incarnation;
    }

    void start() {
        incarnation++;
    }

    /** Kills the process and drops its timers, and the input that waits for a pause to end. */
    void kill() {
        incarnation++;
        isPaused = false;
        timersDuringPause.clear();
        inputDuringPause.clear();
    }

    /** Pauses or resumes the process. On resume, the waiting timers and input run at once. */
    void setPaused(boolean paused) {
        isPaused = paused;
        // As in the daemon's event loop, due timers run before any input is read.
        while (!isPaused && !(timersDuringPause.isEmpty() && inputDuringPause.isEmpty())) {
            (timersDuringPause.isEmpty() ? inputDuringPause : timersDuringPause).pollFirst().run();
        }
    }

    /** Runs a task after a delay, unless the process was killed or restarted meanwhile. */
    void schedule(double delaySeconds, Runnable task) {
        int scheduledIncarnation = incarnation;
        timeline.schedule(
                delaySeconds,
                () -> {
                    if (scheduledIncarnation != incarnation) {
                        return;
                    }
                    if (isPaused) {
                        timersDuringPause.addLast(task);
                    } else {
                        task.run();
                    }
                });
    }

    /** Handles input from outside the process at once, or at the end of a pause. */
    void receive(Runnable event) {
        if (isPaused) {
            inputDuringPause.addLast(event);
        } else {
            event.run();
        }
    }
}
