package wheelroute.kit.model;

/** One launch at a worker, from its last byte to the end of its connection. */
public final class WorkerAttempt {
    /** How the worker speaks on the launch's connection. */
    public interface Reply {
        void onStarted();

        void onProgress(double share);

        /** The last word; freeSlots is NaN where no report goes with it. */
        void onEnded(AttemptEnding ending, double freeSlots);
    }

    public final long requestId;
    public final double work;
    final int slots;
    final double memory;
    final Reply reply;
    double remaining;
    double progressedAt;
    double startedAt = Double.NaN;
    int planVersion;
    private Object attachment;
    boolean ended;
    boolean cancelled;

    /** Something it should have been told was not. */
    boolean notificationLost;

    public WorkerAttempt(long requestId, double work, int slots, double memory, Reply reply) {
        this.requestId = requestId;
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
    public Object attachment() {
        return attachment;
    }

    public void attachment(Object newMark) {
        attachment = newMark;
    }

    /** The worker has ended it, whether or not that could be told. */
    public boolean isEnded() {
        return ended;
    }
}
