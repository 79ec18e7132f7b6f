/**
 * The start, configuration reload and graceful shutdown of one dispatcher process.
 *
 * <p>{@link wheelroute.net.lifecycle.Service} is the entry point. Except for its methods for other
 * threads, all code of this package runs on the event loop's thread.
 */
package wheelroute.net.lifecycle;
