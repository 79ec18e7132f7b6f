package wheelroute.net.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Imports the state of the predecessor process, from {@link #begin} to {@link #finish}. State that
 * arrives later is ignored, because what this process has learned by then is newer. Only for the
 * event loop's thread.
 */
final class StateImport {
    private static final Logger LOG = LoggerFactory.getLogger(StateImport.class);

    private final TransferableState state;
    private final Runnable whenFinished;
    private boolean inProgress;

    /**
     * Creates an import that has not begun.
     *
     * @param whenFinished run when the import ends
     */
    StateImport(TransferableState state, Runnable whenFinished) {
        this.state = state;
        this.whenFinished = whenFinished;
    }

    void begin() {
        inProgress = true;
    }

    /** Ends the import, if it is in progress, with whatever has been imported. */
    void finish() {
        if (inProgress) {
            inProgress = false;
            whenFinished.run();
        }
    }

    /** Processes one of the predecessor's messages that transfer state. */
    void onMessage(HandoverMessage message) {
        if (!inProgress) {
            return;
        }
        byte[] body = message.body().getBytes(StandardCharsets.UTF_8);
        try {
            switch (message.type()) {
                case ENDPOINTS -> state.importEndpoints(body);
                case LEARNED_STATE -> state.importLearnedState(body);
                default -> finish();
            }
        } catch (IOException e) {
            // Probably of another version. The other messages may be usable, and what is missing
            // is learned again from discovery and the workers.
            LOG.info("state of predecessor process not imported: {}", e.getMessage());
        }
    }
}
