package wheelroute.net.handover;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Imports the state of the predecessor process between {@link #begin} and {@link #finish}. State
 * that arrives later is ignored, because the state of this process is newer by then. Confined to
 * the event loop's thread.
 */
final class StateImport {
    private static final Logger LOG = LoggerFactory.getLogger(StateImport.class);

    private final TransferableState state;
    private final Runnable onFinished;
    private boolean inProgress;
    private boolean hasProgressed;

    /**
     * Creates an import that has not begun yet.
     *
     * @param onFinished run when the import ends
     */
    StateImport(TransferableState state, Runnable onFinished) {
        this.state = state;
        this.onFinished = onFinished;
    }

    void begin() {
        inProgress = true;
    }

    /** Records that a part of the state has arrived, of which there are more. */
    void onPartImported() {
        hasProgressed = true;
    }

    /** Returns whether the import is in progress and a part has arrived since the last call. */
    boolean progresses() {
        boolean progresses = inProgress && hasProgressed;
        hasProgressed = false;
        return progresses;
    }

    /** Ends the import if it is in progress. The state imported so far stays in use. */
    void finish() {
        if (inProgress) {
            inProgress = false;
            onFinished.run();
        }
    }

    /** Processes a message of the predecessor that transfers state, or that ends the transfer. */
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
            // The state is probably of another version. Other messages may be usable, and missing
            // state is learned again from discovery and the workers.
            LOG.info("state of predecessor process not imported: {}", e.getMessage());
        }
    }
}
