package wheelroute.net.memory;

/**
 * Divides the heap among the data that the process buffers for other programs. What is left, more
 * than a third of the heap, is for everything else: classes, connections, the endpoint list, the
 * state of requests, and what is derived from bodies while they are decoded.
 *
 * <p>Used on the event loop's thread only.
 */
public final class HeapBudget {
    /** What is derived from the bodies takes as much memory again. */
    private static final double REQUESTS_FRACTION = 0.3;

    private static final double PIPELINED_INPUT_FRACTION = 0.1;
    private static final double RESPONSES_FRACTION = 0.12;

    /**
     * While an endpoint list is applied, the heap holds its bytes, its entries, and the entries
     * that they replace.
     */
    private static final double ENDPOINT_LIST_FRACTION = 1 / 12.0;

    /** Lists up to this size, enough for some thousands of workers, are read on any heap. */
    private static final long MIN_ENDPOINT_LIST_BYTES = 1 << 20;

    private static final double ATTEMPT_HISTORY_FRACTION = 0.05;

    /** Maximum memory for the attempt history on a large heap. */
    private static final long MAX_ATTEMPT_HISTORY_BYTES = 2L * 1024 * 1024;

    /** Maximum memory for pipelined input on a large heap. */
    private static final long MAX_PIPELINED_INPUT_BYTES = 4L * 1024 * 1024;

    private final FairShareQuota requests;
    private final FairShareQuota pipelinedInput;
    private final ResponseMemory responses;
    private final long attemptHistoryBytes;

    /**
     * Creates a budget without any reservations.
     *
     * @param heapBytes the maximum size of the heap
     * @param maxClientConnections the number of clients' connections that there can be
     */
    public HeapBudget(long heapBytes, int maxClientConnections) {
        requests = new FairShareQuota((long) (REQUESTS_FRACTION * heapBytes), maxClientConnections);
        pipelinedInput =
                new FairShareQuota(
                        Math.min(
                                MAX_PIPELINED_INPUT_BYTES,
                                (long) (PIPELINED_INPUT_FRACTION * heapBytes)),
                        maxClientConnections);
        responses = new ResponseMemory((long) (RESPONSES_FRACTION * heapBytes));
        attemptHistoryBytes =
                Math.min(MAX_ATTEMPT_HISTORY_BYTES, (long) (ATTEMPT_HISTORY_FRACTION * heapBytes));
    }

    /** Returns the budget of this process. */
    public static HeapBudget ofProcess(int maxClientConnections) {
        return new HeapBudget(Runtime.getRuntime().maxMemory(), maxClientConnections);
    }

    /**
     * Returns the maximum size of an endpoint list as discovery sends it. There is only one at a
     * time, so it needs no quota.
     *
     * @param heapBytes the maximum size of the heap
     */
    public static long maxEndpointListBytes(long heapBytes) {
        return Math.max(MIN_ENDPOINT_LIST_BYTES, (long) (ENDPOINT_LIST_FRACTION * heapBytes));
    }

    /** Returns the quota for requests, from the first byte of the head to the final response. */
    public FairShareQuota requests() {
        return requests;
    }

    /** Returns the quota for input behind requests that have not been answered yet. */
    public FairShareQuota pipelinedInput() {
        return pipelinedInput;
    }

    /** Returns the maximum memory for what is remembered of requests that may have run. */
    public long attemptHistoryBytes() {
        return attemptHistoryBytes;
    }

    /** Returns the memory for responses, from their arrival to the client's last byte. */
    public ResponseMemory responses() {
        return responses;
    }
}
