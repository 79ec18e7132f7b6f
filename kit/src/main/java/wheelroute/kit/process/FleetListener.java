package wheelroute.kit.process;

import java.net.InetSocketAddress;

/** Listener for the processes of a fleet. All methods are called on the event loop's thread. */
interface FleetListener {
    /** Called when a dispatcher accepts clients at this address. */
    void onReady(int dispatcher, InetSocketAddress clients);

    /** Called when a process of a dispatcher was started. */
    void onStarted(int dispatcher, DaemonProcess process);

    /** Called when a process of a dispatcher has ended. */
    void onEnded(int dispatcher, DaemonProcess process);

    /**
     * Called when the last process of a dispatcher has ended; the requests in flight on it are
     * lost.
     */
    void onStopped(int dispatcher);

    /**
     * Called when a partial outage of a dispatcher begins or ends. Some of its connections may
     * break although the dispatcher is not down, because one of its two processes is killed, until
     * that process has ended, or because both are paused for a while.
     */
    void onPartialOutage(int dispatcher, boolean begins);

    /**
     * Called when a process has ended that the kit neither killed nor terminated. The dispatcher is
     * started again if no other process of it runs, as a service manager does.
     */
    void onCrash(int dispatcher, String logExcerpt);

    /** Called when the run cannot continue. */
    void onFailure(String reason);
}
