/**
 * Handling of accepted requests, which connects the clients, the policy and the workers.
 *
 * <p>{@link wheelroute.net.requests.RequestDispatcher} passes events and actions between them, and
 * {@link wheelroute.net.requests.Exchange} owns one request from its acceptance to its final
 * response and the end of its attempts. All classes of this package are used on the event loop's
 * thread only.
 *
 * <p>A request passes these checks, in this order, each of which can reject the request:
 *
 * <ol>
 *   <li>{@link wheelroute.net.clients.ConnectionLimit}, if too many connections are open (503).
 *   <li>{@link wheelroute.net.clients.ClientRequestDecoder} and {@link
 *       wheelroute.net.clients.ClientRequest}, if the message is malformed, too large, or
 *       incomplete for too long (4xx).
 *   <li>{@link wheelroute.net.memory.FairShareQuota}, if there is no memory for the head or the
 *       body (503).
 *   <li>{@code RequestFactory}, if the request class is unknown or a required key is missing (4xx).
 *   <li>{@link wheelroute.net.requests.RequestDispatcher#accept}, if a request with the same id is
 *       open (409), or if the deadline has passed (503).
 *   <li>{@code DrainAdmission}, if the request would not complete before the process ends (503).
 *   <li>{@link wheelroute.decision.order.KeyQueues}, if the request waits too long in the queue of
 *       its key.
 *   <li>{@link wheelroute.decision.routing.RequestPlacer}, if no attempt is permitted, no worker is
 *       eligible, or the expected wait is too long.
 * </ol>
 *
 * <p>The last two checks answer 503, or 502 if a retry by the client might do harm.
 */
package wheelroute.net.requests;
