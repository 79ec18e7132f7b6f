package wheelroute.kit.model;

/** One launch at a worker, from its last byte to the end of its connection. */
public final class WorkerAttempt {
    /** How the worker speaks on the launch's connection. */
    public interface Reply {
        void started();

        void progressed(double share);

        /** The last word; freeSlots is NaN where no report goes with it. */
        void ended(AttemptEnding ending, double freeSlots);
    }

    public final long submission;
    public final double work;
    final int slots;
    final double memory;
    final Reply reply;
    double remaining;
    double since;
    double startedAt = Double.NaN;
    int plan;
    private Object mark;
    boolean ended;
    boolean dropped;

    /** Something it should have been told was not. */
    boolean kept;

    public WorkerAttempt(long submission, double work, int slots, double memory, Reply reply) {
        this.submission = submission;
        this.work = work;
        this.slots = slots;
        this.memory = memory;
        this.reply = reply;
        remaining = work;
    }

    /**
     * What its witness remembers of it: a table by launch would cost a look-up at each of its
     * events.
     */
    public Object mark() {
        return mark;
    }

    public void mark(Object newMark) {
        mark = newMark;
    }

    /** The worker has ended it, whether or not that could be told. */
    public boolean isEnded() {
        return ended;
    }
}
