package wheelroute.kit.simulation;

import java.util.Arrays;
import wheelroute.kit.model.Timeline;

/**
 * Simulated time, which advances from each task to the next. The task queue is a heap with four
 * children per node in plain arrays, because a run spends most of its time in the queue.
 *
 * <p>Not thread-safe: all tasks run on the thread that calls {@link #step}.
 */
public final class SimulatedTime implements Timeline {
    /** Time at which a run starts, far from 0 so that times before the run are positive too. */
    private static final double START_SECONDS = 1e6;

    private static final int CHILDREN = 4;
    private static final int INITIAL_CAPACITY = 1024;

    private double[] dueAt = new double[INITIAL_CAPACITY];

    /** Numbers in the order of scheduling, in which tasks due at the same time run. */
    private long[] sequenceNumbers = new long[INITIAL_CAPACITY];

    private Runnable[] tasks = new Runnable[INITIAL_CAPACITY];
    private int size;
    private double now = START_SECONDS;
    private long lastSequenceNumber;

    @Override
    public double now() {
        return now;
    }

    @Override
    public void schedule(double delaySeconds, Runnable task) {
        if (size == dueAt.length) {
            dueAt = Arrays.copyOf(dueAt, 2 * size);
            sequenceNumbers = Arrays.copyOf(sequenceNumbers, 2 * size);
            tasks = Arrays.copyOf(tasks, 2 * size);
        }
        double at = now + Math.max(0, delaySeconds);
        // The new task runs after those due at the same time, so equal times stop the search.
        int hole = size++;
        while (hole > 0) {
            int parent = (hole - 1) / CHILDREN;
            if (dueAt[parent] <= at) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        put(hole, at, ++lastSequenceNumber, task);
    }

    /** Runs the next task; returns false if there is none. */
    public boolean step() {
        if (size == 0) {
            return false;
        }
        now = dueAt[0];
        Runnable task = tasks[0];
        size--;
        if (size > 0) {
            siftDown(dueAt[size], sequenceNumbers[size], tasks[size]);
        }
        tasks[size] = null;
        task.run();
        return true;
    }

    /** Inserts a task at the root, which is vacant, and restores the order of the heap. */
    private void siftDown(double at, long sequenceNumber, Runnable task) {
        int hole = 0;
        while (true) {
            int first = CHILDREN * hole + 1;
            if (first >= size) {
                break;
            }
            int least = first;
            int end = Math.min(first + CHILDREN, size);
            for (int child = first + 1; child < end; child++) {
                if (isBefore(
                        dueAt[child],
                        sequenceNumbers[child],
                        dueAt[least],
                        sequenceNumbers[least])) {
                    least = child;
                }
            }
            if (isBefore(at, sequenceNumber, dueAt[least], sequenceNumbers[least])) {
                break;
            }
            move(least, hole);
            hole = least;
        }
        put(hole, at, sequenceNumber, task);
    }

    private static boolean isBefore(
            double at, long sequenceNumber, double otherAt, long otherSequenceNumber) {
        return at < otherAt || (at == otherAt && sequenceNumber < otherSequenceNumber);
    }

    private void move(int from, int to) {
        put(to, dueAt[from], sequenceNumbers[from], tasks[from]);
    }

    private void put(int index, double at, long sequenceNumber, Runnable task) {
        dueAt[index] = at;
        sequenceNumbers[index] = sequenceNumber;
        tasks[index] = task;
    }
}
