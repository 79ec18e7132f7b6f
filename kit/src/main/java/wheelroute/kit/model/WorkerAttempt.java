package wheelroute.kit.model;

/** An attempt at a worker, from the arrival of its last byte to the end of its connection. */
public final class WorkerAttempt {
    /** Receives the events that the worker sends on the attempt's connection. */
    public interface Reply {
        /** Called when the worker has started the attempt. */
        void onStarted();

        /** Called at intervals with the fraction of the work that is done. */
        void onProgress(double fraction);

        /** Called when the attempt has ended; freeSlots is NaN without a load report. */
        void onEnded(AttemptEnding ending, double freeSlots);
    }

    public final long requestId;

    /** The work of the attempt, in seconds on a worker of speed 1. */
    public final double workSeconds;

    final int slots;
    final double memory;
    final Reply reply;

    /** The seconds of work that were left at {@link #progressedAt}. */
    double remainingSeconds;

    double progressedAt;
    double startedAt = Double.NaN;

    /**
     * Incremented when the completion is rescheduled, so that an earlier schedule has no effect.
     */
    int completionVersion;

    boolean ended;

    /** Whether the connection is closed, so that nothing that the worker sends arrives. */
    boolean cancelled;

    /** Whether an event of this attempt was lost; all later events are lost too. */
    boolean eventLost;

    private Object attachment;

    /** Creates an attempt that has not arrived at a worker yet. */
    public WorkerAttempt(
            long requestId, double workSeconds, int slots, double memory, Reply reply) {
        this.requestId = requestId;
        this.workSeconds = workSeconds;
        this.slots = slots;
        this.memory = memory;
        this.reply = reply;
        remainingSeconds = workSeconds;
    }

    /** Returns the object that the event listener attached; null if there is none. */
    public Object attachment() {
        return attachment;
    }

    /** Attaches an object of the event listener, which saves it a look-up at each event. */
    public void attachment(Object newAttachment) {
        attachment = newAttachment;
    }

    /** Returns whether the worker has ended the attempt, even if its response was lost. */
    public boolean isEnded() {
        return ended;
    }
}
