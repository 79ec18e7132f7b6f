package wheelroute.kit.model;

/** An attempt at a worker, from its last byte to the end of its connection. */
public final class WorkerAttempt {
    /** Receives what the worker sends on the attempt's connection. */
    public interface Reply {
        /** The worker has started the attempt. */
        void onStarted();

        /** The fraction of the work that is done. */
        void onProgress(double fraction);

        /** The final event; freeSlots is NaN without a load report. */
        void onEnded(AttemptEnding ending, double freeSlots);
    }

    public final long requestId;

    /** Seconds on a worker of speed 1. */
    public final double workSeconds;

    final int slots;
    final double memory;
    final Reply reply;

    /** Work that was left at {@link #progressedAt}. */
    double remainingSeconds;

    double progressedAt;
    double startedAt = Double.NaN;

    /** Changes whenever the completion is scheduled anew, which voids the earlier schedule. */
    int completionVersion;

    boolean ended;

    /** The connection is closed: nothing that the worker sends arrives. */
    boolean cancelled;

    /** An event of this attempt was lost, and so is everything after it. */
    boolean eventLost;

    private Object attachment;

    /** Creates an attempt that has not arrived yet. */
    public WorkerAttempt(
            long requestId, double workSeconds, int slots, double memory, Reply reply) {
        this.requestId = requestId;
        this.workSeconds = workSeconds;
        this.slots = slots;
        this.memory = memory;
        this.reply = reply;
        remainingSeconds = workSeconds;
    }

    /** Returns the event listener's own object, which saves it a look-up at each event. */
    public Object attachment() {
        return attachment;
    }

    /** Attaches an object of the event listener's. */
    public void attachment(Object newAttachment) {
        attachment = newAttachment;
    }

    /** Whether the worker has ended the attempt, even if its response could not be sent. */
    public boolean isEnded() {
        return ended;
    }
}
