/**
 * Remembers which requests must not run twice, in a fixed amount of memory.
 *
 * <p>{@link wheelroute.net.history.AttemptHistory} is the entry point. It keeps one entry for each
 * request in a {@link wheelroute.net.history.FingerprintTable}. No class performs I/O or reads a
 * clock.
 */
package wheelroute.net.history;
