package wheelroute.net.clients;

import java.nio.ByteBuffer;
import wheelroute.net.loop.EventLoop;
import wheelroute.net.memory.HeapBudget;

/**
 * The input side of a client's connection. Decodes one message at a time, for which it sets a time
 * limit, and buffers the input behind that message until the response has been written.
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
    private boolean hasCompletedMessage;

    /**
     * A message that was read completely.
     *
     * @param arrivedAt the earliest Unix time in seconds at which the last byte of the message may
     *     have arrived
     */
    record ReceivedMessage(ClientRequest request, double arrivedAt) {}

    /**
     * Creates the input of a new connection.
     *
     * @param heapBudget limits the memory for the input of all connections
     * @param onTimeout called when a message has not arrived completely within the time limit
     */
    MessageInput(EventLoop loop, HeapBudget heapBudget, Runnable onTimeout) {
        this.loop = loop;
        decoder = new ClientRequestDecoder(heapBudget.requests());
        pipelined = new PipelinedInput(heapBudget.pipelinedInput());
        timeout = new MessageTimeout(loop, onTimeout);
    }

    /** Starts the time limit of the first message. Later ones start at the first byte. */
    void startTimeout() {
        timeout.start();
    }

    /** Cancels the time limit of the current message. */
    void cancelTimeout() {
        timeout.cancel();
    }

    /** Whether a message has begun that is not complete yet or was found to be malformed. */
    boolean hasPartialMessage() {
        return hasPartialMessage;
    }

    /** Whether a message has been completed and the next one has not begun. */
    boolean isBetweenMessages() {
        return hasCompletedMessage && !hasPartialMessage;
    }

    /** Stops waiting for the rest of the current message. */
    void abandonMessage() {
        timeout.cancel();
        hasPartialMessage = false;
        releaseMessage();
    }

    /**
     * Decodes the next message, and buffers the input that follows the message.
     *
     * @param in either new input or the buffer returned by {@link #buffered}
     * @return null if more input is needed
     * @throws BadRequestException if the message is malformed or too large
     */
    ReceivedMessage decode(ByteBuffer in) throws BadRequestException {
        boolean isFirstPart = isBetweenMessages();
        hasPartialMessage = true;
        ClientRequest request = decoder.decode(in);
        if (request == null) {
            if (isFirstPart) {
                timeout.start();
            }
            return null;
        }
        timeout.cancel();
        hasPartialMessage = false;
        hasCompletedMessage = true;
        boolean isFromBuffer = in == pipelined.buffered();
        double arrivedAt = isFromBuffer ? pipelined.arrivedAt() : loop.earliestArrival();
        if (in.hasRemaining() && !isFromBuffer) {
            pipelined.add(in, arrivedAt);
        }
        return new ReceivedMessage(request, arrivedAt);
    }

    /**
     * Buffers input that arrives before the response to the current message was written. Discards
     * it if the buffer is full.
     */
    void buffer(ByteBuffer in) {
        pipelined.add(in, loop.earliestArrival());
    }

    /** Whether reading should pause, because the buffer has been full and is not half empty yet. */
    boolean isReadingPaused() {
        return pipelined.isReadingPaused();
    }

    /** Whether little should be read at once, because the memory of all connections is used up. */
    boolean isMemoryScarce() {
        return pipelined.isMemoryScarce();
    }

    /** Whether input was discarded, so that no message can follow the buffered ones. */
    boolean hasGap() {
        return pipelined.hasGap();
    }

    /** Whether the buffer contains input that has not been decoded. */
    boolean hasBuffered() {
        return !pipelined.isEmpty();
    }

    /** Returns the buffered input, which can be passed to {@link #decode}. */
    ByteBuffer buffered() {
        return pipelined.buffered();
    }

    /** Discards the last message, which may be incomplete, and releases its memory. */
    void releaseMessage() {
        decoder.release();
    }

    /** Discards the buffered input and releases the memory of the buffer. */
    void releaseBuffer() {
        pipelined.release();
    }
}
