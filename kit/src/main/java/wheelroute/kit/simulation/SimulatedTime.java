package wheelroute.kit.simulation;

import java.util.Arrays;
import wheelroute.kit.model.Timeline;

/**
 * Simulated time, which advances from each task to the next. The queue of tasks is a heap with four
 * children per node in plain arrays, because a run spends most of its time in it.
 *
 * <p>Not thread-safe: all tasks run on the thread that calls {@link #step}.
 */
public final class SimulatedTime implements Timeline {
    /** Far from 0, so that times before the run are positive too. */
    private static final double START_SECONDS = 1e6;

    private static final int CHILDREN = 4;
    private static final int INITIAL_CAPACITY = 1024;

    private double[] dueAt = new double[INITIAL_CAPACITY];

    /** Numbers in the order of scheduling, in which tasks that are due together run. */
    private long[] numbers = new long[INITIAL_CAPACITY];

    private Runnable[] tasks = new Runnable[INITIAL_CAPACITY];
    private int size;
    private double now = START_SECONDS;
    private long lastNumber;

    @Override
    public double now() {
        return now;
    }

    @Override
    public void schedule(double delaySeconds, Runnable task) {
        if (size == dueAt.length) {
            dueAt = Arrays.copyOf(dueAt, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
            tasks = Arrays.copyOf(tasks, 2 * size);
        }
        double at = now + Math.max(0, delaySeconds);
        // The new task goes behind those due at the same time, so equal times stop the search.
        int hole = size++;
        while (hole > 0) {
            int parent = (hole - 1) / CHILDREN;
            if (dueAt[parent] <= at) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        put(hole, at, ++lastNumber, task);
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
            siftDown(dueAt[size], numbers[size], tasks[size]);
        }
        tasks[size] = null;
        task.run();
        return true;
    }

    /** Inserts a task at the root, whose place is empty, and restores the order of the heap. */
    private void siftDown(double at, long number, Runnable task) {
        int hole = 0;
        while (true) {
            int first = CHILDREN * hole + 1;
            if (first >= size) {
                break;
            }
            int least = first;
            int end = Math.min(first + CHILDREN, size);
            for (int child = first + 1; child < end; child++) {
                if (isBefore(dueAt[child], numbers[child], dueAt[least], numbers[least])) {
                    least = child;
                }
            }
            if (isBefore(at, number, dueAt[least], numbers[least])) {
                break;
            }
            move(least, hole);
            hole = least;
        }
        put(hole, at, number, task);
    }

    private static boolean isBefore(double at, long number, double otherAt, long otherNumber) {
        return at < otherAt || (at == otherAt && number < otherNumber);
    }

    private void move(int from, int to) {
        put(to, dueAt[from], numbers[from], tasks[from]);
    }

    private void put(int place, double at, long number, Runnable task) {
        dueAt[place] = at;
        numbers[place] = number;
        tasks[place] = task;
    }
}
