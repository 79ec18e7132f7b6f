/**
 * The limits on the memory that messages occupy.
 *
 * <p>{@link wheelroute.net.memory.HeapBudget} divides the heap among the kinds of data whose size
 * other programs determine. Whoever buffers such data reserves the memory from its quota first, and
 * does not read on, or rejects the message, while there is none: memory that nobody has counted
 * ends the process once enough peers need it at the same time.
 */
package wheelroute.net.memory;
