package wheelroute.kit.process;

import java.net.InetSocketAddress;

/** Follows the dispatchers' processes; called on the event loop's thread. */
interface FleetListener {
    /** The dispatcher accepts clients at this address. */
    void onReady(int dispatcher, InetSocketAddress clients);

    /** A process of the dispatcher was started. */
    void onStarted(int dispatcher, DaemonProcess process);

    /** A process of the dispatcher has ended. */
    void onEnded(int dispatcher, DaemonProcess process);

    /** The last process of the dispatcher has ended; its requests in flight are lost. */
    void onStopped(int dispatcher);

    /**
     * Some connections of the dispatcher may break without its being down: one of its two processes
     * is killed, until it has ended, or both are paused for a while.
     */
    void onSplit(int dispatcher, boolean begins);

    /** A process has ended that was not to end; it is started again, as a supervisor would. */
    void onCrash(int dispatcher, String logExcerpt);

    /** The run cannot go on. */
    void onFailure(String reason);
}
