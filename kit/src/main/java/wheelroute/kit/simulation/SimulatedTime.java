package wheelroute.kit.simulation;

import java.util.Arrays;
import wheelroute.kit.model.Timeline;

/**
 * Time that passes only from one task to the next. A run is little but this queue: so it is a heap
 * of four children a node over plain arrays, in which a step looks at neighbours and follows no
 * pointers.
 */
public final class SimulatedTime implements Timeline {
    /**
     * Any moment will do; the decisions must not meet times near 0, where "long ago" cannot be
     * told.
     */
    private static final double START = 1e6;

    private static final int CHILDREN = 4;
    private static final int FIRST_ROOM = 1024;

    private double[] due = new double[FIRST_ROOM];

    /** Tasks due together run in the order in which they were asked for. */
    private long[] numbers = new long[FIRST_ROOM];

    private Runnable[] tasks = new Runnable[FIRST_ROOM];
    private int size;
    private double now = START;
    private long last;

    @Override
    public double now() {
        return now;
    }

    @Override
    public void after(double delay, Runnable task) {
        if (size == due.length) {
            due = Arrays.copyOf(due, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
            tasks = Arrays.copyOf(tasks, 2 * size);
        }
        double at = now + Math.max(0, delay);
        // The newest of those due together goes behind them: only a later time has to give way.
        int hole = size++;
        while (hole > 0) {
            int parent = (hole - 1) / CHILDREN;
            if (due[parent] <= at) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        put(hole, at, ++last, task);
    }

    /** Runs the next task; false when there is none. */
    public boolean step() {
        if (size == 0) {
            return false;
        }
        now = due[0];
        Runnable task = tasks[0];
        size--;
        if (size > 0) {
            sink(due[size], numbers[size], tasks[size]);
        }
        tasks[size] = null;
        task.run();
        return true;
    }

    /** Finds the place, from the top, of what was last. */
    private void sink(double at, long number, Runnable task) {
        int hole = 0;
        while (true) {
            int first = CHILDREN * hole + 1;
            if (first >= size) {
                break;
            }
            int least = first;
            int end = Math.min(first + CHILDREN, size);
            for (int child = first + 1; child < end; child++) {
                if (before(due[child], numbers[child], due[least], numbers[least])) {
                    least = child;
                }
            }
            if (before(at, number, due[least], numbers[least])) {
                break;
            }
            move(least, hole);
            hole = least;
        }
        put(hole, at, number, task);
    }

    private static boolean before(double at, long number, double otherAt, long otherNumber) {
        return at < otherAt || (at == otherAt && number < otherNumber);
    }

    private void move(int from, int to) {
        put(to, due[from], numbers[from], tasks[from]);
    }

    private void put(int place, double at, long number, Runnable task) {
        due[place] = at;
        numbers[place] = number;
        tasks[place] = task;
    }
}
