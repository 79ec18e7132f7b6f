package wheelroute.kit.process;

import java.io.IOException;
import java.util.function.Consumer;

/** Pauses and resumes the processes of dispatchers. Used on the event loop's thread. */
final class ProcessPauser {
    /** Time granted to a resumed process to read what arrived while it was paused. */
    static final double RESUME_DELAY_SECONDS = 0.1;

    private final ProcessSupervisor supervisor;
    private final Consumer<String> onFailure;

    /**
     * Creates a pauser.
     *
     * @param onFailure receives the reason if a process cannot be paused or resumed
     */
    ProcessPauser(ProcessSupervisor supervisor, Consumer<String> onFailure) {
        this.supervisor = supervisor;
        this.onFailure = onFailure;
    }

    /** Pauses or resumes all processes of a dispatcher and records the state in the slot. */
    void setPaused(DispatcherSlot slot, boolean isPaused) {
        slot.setPaused(isPaused);
        signalAll(slot, isPaused);
    }

    /** Pauses or resumes all processes of a dispatcher without recording the state in the slot. */
    void signalAll(DispatcherSlot slot, boolean pause) {
        slot.processes().forEach(process -> signal(slot, process, pause));
    }

    private void signal(DispatcherSlot slot, DaemonProcess process, boolean pause) {
        try {
            supervisor.setPaused(process.process(), pause);
        } catch (IOException e) {
            onFailure.accept(
                    "dispatcher "
                            + slot.name()
                            + " cannot be "
                            + (pause ? "paused: " : "resumed: ")
                            + e.getMessage());
        }
    }
}
