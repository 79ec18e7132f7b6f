/**
 * The dispatcher on sockets.
 *
 * <p>There is one package for each kind of peer ({@code clients}, {@code workers}, {@code
 * discovery}, {@code peers}, {@code handover}, {@code admin}), one for the requests that connect
 * them ({@code requests}), one for the process itself ({@code lifecycle}), and the common base
 * ({@code loop}, {@code http}, {@code metrics}). All of it runs on the one thread of the event
 * loop.
 */
package wheelroute.net;
