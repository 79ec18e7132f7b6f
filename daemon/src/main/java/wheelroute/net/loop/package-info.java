/**
 * The event loop: one thread for all sockets, timers and posted tasks.
 *
 * <p>{@link wheelroute.net.loop.EventLoop} is the entry point. The loop runs on Jetty's selector,
 * see {@link wheelroute.net.loop.LoopSelectorManager}. All times are in seconds on the loop's
 * {@link wheelroute.net.loop.Clock}.
 */
package wheelroute.net.loop;
