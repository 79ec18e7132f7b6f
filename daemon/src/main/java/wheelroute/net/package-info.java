/**
 * The network layer of the dispatcher.
 *
 * <p>There is one package for each kind of communication partner ({@code clients}, {@code workers},
 * {@code discovery}, {@code peers}, {@code handover}, {@code admin}), one for the requests that are
 * passed from clients to workers ({@code requests}), one for the lifecycle of the process ({@code
 * lifecycle}), and the common infrastructure ({@code loop}, {@code http}, {@code metrics}). All of
 * them run on the single thread of the event loop.
 */
package wheelroute.net;
