package wheelroute.net.clients;

import java.nio.ByteBuffer;
import wheelroute.net.loop.EventLoop;

/**
 * The input side of a client's connection: decodes one message at a time within a time limit, and
 * buffers the input that follows it until the response has been written.
 *
 * <p>Used on the event loop's thread only. After a {@link BadRequestException} no more messages can
 * be decoded.
 */
final class MessageInput {
    private final EventLoop loop;
    private final ClientRequestDecoder decoder;
    private final PipelinedInput pipelined;
    private final MessageTimeout timeout;
    private boolean hasPartialMessage;
    private boolean hasReadMessage;

    /**
     * A message that was read completely.
     *
     * @param arrivedAt Unix time in seconds at which its last byte arrived at the earliest
     */
    record ReceivedMessage(ClientRequest request, double arrivedAt) {}

    /**
     * Creates the input of a new connection.
     *
     * @param bodyQuota memory for bodies, shared by all connections
     * @param pipelinedQuota memory for pipelined input, shared by all connections
     * @param onTimeout called when a message is not complete in time
     */
    MessageInput(
            EventLoop loop, MemoryQuota bodyQuota, MemoryQuota pipelinedQuota, Runnable onTimeout) {
        this.loop = loop;
        decoder = new ClientRequestDecoder(bodyQuota);
        pipelined = new PipelinedInput(pipelinedQuota);
        timeout = new MessageTimeout(loop, onTimeout);
    }

    /** Starts the time for the first message. For each later one it starts at its first byte. */
    void startTimeout() {
        timeout.start();
    }

    /** Cancels the time limit of the current message. */
    void cancelTimeout() {
        timeout.cancel();
    }

    /** Whether the last message has begun and was not completed, or was malformed. */
    boolean hasPartialMessage() {
        return hasPartialMessage;
    }

    /** Whether a message has been completed and no other one has begun. */
    boolean isBetweenMessages() {
        return hasReadMessage && !hasPartialMessage;
    }

    /** Forgets the message that has begun. */
    void abandonMessage() {
        timeout.cancel();
        hasPartialMessage = false;
    }

    /**
     * Decodes the next message. Buffers the input that follows it.
     *
     * @param in new input, or {@link #buffered}
     * @return null if more input is needed
     * @throws BadRequestException if the message is malformed or too large
     */
    ReceivedMessage decode(ByteBuffer in) throws BadRequestException {
        if (isBetweenMessages()) {
            timeout.start();
        }
        hasPartialMessage = true;
        ClientRequest request = decoder.decode(in);
        if (request == null) {
            return null;
        }
        timeout.cancel();
        hasPartialMessage = false;
        hasReadMessage = true;
        boolean isFromBuffer = in == pipelined.buffered();
        double arrivedAt = isFromBuffer ? pipelined.arrivedAt() : loop.earliestArrival();
        if (in.hasRemaining() && !isFromBuffer) {
            pipelined.add(in, arrivedAt);
        }
        return new ReceivedMessage(request, arrivedAt);
    }

    /** Buffers input that arrives before the response to the previous message was written. */
    void buffer(ByteBuffer in) {
        pipelined.add(in, loop.earliestArrival());
    }

    /** Whether no more input should be buffered for now. */
    boolean isBufferFull() {
        return pipelined.isFull();
    }

    /** Whether there is buffered input. */
    boolean hasBuffered() {
        return !pipelined.isEmpty();
    }

    /** Returns the buffered input, for {@link #decode}. */
    ByteBuffer buffered() {
        return pipelined.buffered();
    }

    /** Releases the memory of the last message's body. */
    void releaseBody() {
        decoder.release();
    }

    /** Drops the buffered input and releases its memory. */
    void releaseBuffer() {
        pipelined.release();
    }
}
