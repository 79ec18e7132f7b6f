package wheelroute.kit.process;

import java.io.IOException;
import java.util.function.Consumer;

/** Pauses and resumes the processes of dispatchers. */
final class ProcessPauser {
    /** From the signal until a resumed process has read what arrived while it was paused. */
    static final double RESUME_DELAY_SECONDS = 0.1;

    private final ProcessSupervisor supervisor;
    private final Consumer<String> onFailure;

    /**
     * Creates a pauser.
     *
     * @param onFailure gets the reason if a process cannot be paused or resumed
     */
    ProcessPauser(ProcessSupervisor supervisor, Consumer<String> onFailure) {
        this.supervisor = supervisor;
        this.onFailure = onFailure;
    }

    /** Pauses or resumes a dispatcher, which keeps this state until it is changed. */
    void setPaused(DispatcherSlot slot, boolean isPaused) {
        slot.setPaused(isPaused);
        signalAll(slot, isPaused);
    }

    /** Pauses or resumes all processes of a dispatcher without changing the dispatcher's state. */
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
