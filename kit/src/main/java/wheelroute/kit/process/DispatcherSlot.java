package wheelroute.kit.process;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheelroute.kit.scenario.FaultMode;

/**
 * State of one dispatcher of a fleet, which runs as one process, or as two while a successor
 * replaces its predecessor. Used on the event loop's thread.
 */
final class DispatcherSlot {
    private final int number;
    private final Path directory;
    private final Set<DaemonProcess> processes = new HashSet<>();
    private DaemonProcess current;
    private DaemonProcess successor;
    private DaemonProcess killedDuringReplacement;
    private FaultMode pendingStart;
    private int port;
    private int starts;
    private boolean isPaused;
    private double cpuShare = 1;
    private boolean isCpuLimited;

    DispatcherSlot(int number, Path directory) {
        this.number = number;
        this.directory = directory;
    }

    int number() {
        return number;
    }

    String name() {
        return "n" + number;
    }

    /** Returns the directory of the dispatcher's configuration and state files. */
    Path directory() {
        return directory;
    }

    /** Returns a copy of the set of processes that have not ended. */
    List<DaemonProcess> processes() {
        return List.copyOf(processes);
    }

    void add(DaemonProcess process) {
        processes.add(process);
    }

    void remove(DaemonProcess process) {
        processes.remove(process);
    }

    /**
     * Returns the process that serves the clients, or the last one that did; null before the first
     * start.
     */
    DaemonProcess current() {
        return current;
    }

    void setCurrent(DaemonProcess process) {
        current = process;
    }

    /**
     * Returns the process that is to replace the current one; null while no replacement is in
     * progress.
     */
    DaemonProcess successor() {
        return successor;
    }

    void setSuccessor(DaemonProcess process) {
        successor = process;
    }

    /**
     * Returns the predecessor or successor that was killed while the other process continues; null
     * once the killed process has ended.
     */
    DaemonProcess killedDuringReplacement() {
        return killedDuringReplacement;
    }

    void setKilledDuringReplacement(DaemonProcess process) {
        killedDuringReplacement = process;
    }

    /**
     * Returns the mode in which the dispatcher is started again once its last process has ended;
     * null if no start is pending.
     */
    FaultMode pendingStart() {
        return pendingStart;
    }

    void setPendingStart(FaultMode mode) {
        pendingStart = mode;
    }

    /**
     * Returns the port for clients, which all processes of the dispatcher use; 0 before the first
     * process is ready.
     */
    int port() {
        return port;
    }

    void setPort(int clientPort) {
        port = clientPort;
    }

    /** Returns the number of processes that were started so far. */
    int starts() {
        return starts;
    }

    void onStart() {
        starts++;
    }

    boolean isPaused() {
        return isPaused;
    }

    void setPaused(boolean paused) {
        isPaused = paused;
    }

    /**
     * Returns the fraction of the time during which the processes of the dispatcher may run; 1 for
     * no limit.
     */
    double cpuShare() {
        return cpuShare;
    }

    void setCpuShare(double share) {
        cpuShare = share;
    }

    /**
     * Whether a {@link CpuLimiter} pauses and resumes the processes of the dispatcher periodically.
     */
    boolean isCpuLimited() {
        return isCpuLimited;
    }

    void setCpuLimited(boolean limited) {
        isCpuLimited = limited;
    }
}
