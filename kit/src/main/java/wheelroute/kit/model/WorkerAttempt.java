package wheelroute.kit.model;

/** An attempt at a worker, from its last byte to the end of its connection. */
public final class WorkerAttempt {
    /** Receives what the worker sends on the attempt's connection. */
    public interface Reply {
        /** The worker has started the attempt. */
        void onStarted();

        /** The fraction of the work that is done. */
        void onProgress(double share);

        /** The final event; freeSlots is NaN without a load report. */
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

    /** The worker could not send an event of this attempt. */
    boolean notificationLost;

    /** Creates an attempt that has not arrived yet. */
    public WorkerAttempt(long requestId, double work, int slots, double memory, Reply reply) {
        this.requestId = requestId;
        this.work = work;
        this.slots = slots;
        this.memory = memory;
        this.reply = reply;
        remaining = work;
    }

    /** What the event listener has attached, which saves it a look-up at each event. */
    public Object attachment() {
        return attachment;
    }

    /** Attaches an object of the event listener's. */
    public void attachment(Object newMark) {
        attachment = newMark;
    }

    /** Whether the worker has ended the attempt, even if its response could not be sent. */
    public boolean isEnded() {
        return ended;
    }
}
