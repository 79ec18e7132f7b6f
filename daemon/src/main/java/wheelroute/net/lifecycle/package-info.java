/**
 * The start, configuration reload and graceful shutdown of one dispatcher process.
 *
 * <p>{@link wheelroute.net.lifecycle.Service} is the entry. All but its methods for other threads
 * runs on the event loop's thread.
 */
package wheelroute.net.lifecycle;
