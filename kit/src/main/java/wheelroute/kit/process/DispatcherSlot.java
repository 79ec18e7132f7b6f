package wheelroute.kit.process;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheelroute.kit.scenario.FaultMode;

/**
 * One dispatcher of a fleet, which is one process, or two while one replaces the other. Used on the
 * event loop's thread.
 */
final class DispatcherSlot {
    private final int number;
    private final Path directory;
    private final Set<DaemonProcess> processes = new HashSet<>();
    private DaemonProcess current;
    private DaemonProcess successor;
    private DaemonProcess killedBesideOther;
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

    /** Returns where its configuration and state files are. */
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

    /** Returns the process that serves the clients, or did last; null before the first start. */
    DaemonProcess current() {
        return current;
    }

    void setCurrent(DaemonProcess process) {
        current = process;
    }

    /** Returns the process that is to replace the current one; null while there is none. */
    DaemonProcess successor() {
        return successor;
    }

    void setSuccessor(DaemonProcess process) {
        successor = process;
    }

    /** Returns the process that was killed while the other one goes on, until it has ended. */
    DaemonProcess killedBesideOther() {
        return killedBesideOther;
    }

    void setKilledBesideOther(DaemonProcess process) {
        killedBesideOther = process;
    }

    /** Returns how it is started once its last process has ended; null if it is not. */
    FaultMode pendingStart() {
        return pendingStart;
    }

    void setPendingStart(FaultMode mode) {
        pendingStart = mode;
    }

    /** Returns the port for clients, which all its processes use; 0 before the first was ready. */
    int port() {
        return port;
    }

    void setPort(int clientPort) {
        port = clientPort;
    }

    /** Returns how many processes were started. */
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

    /** Returns the fraction of the time during which its processes may run. */
    double cpuShare() {
        return cpuShare;
    }

    void setCpuShare(double share) {
        cpuShare = share;
    }

    /** Whether a {@link CpuLimiter} pauses and resumes its processes. */
    boolean isCpuLimited() {
        return isCpuLimited;
    }

    void setCpuLimited(boolean limited) {
        isCpuLimited = limited;
    }
}
