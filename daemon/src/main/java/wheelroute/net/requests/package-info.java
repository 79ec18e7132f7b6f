/**
 * Accepted requests, between the clients, the policy and the workers.
 *
 * <p>{@link wheelroute.net.requests.RequestDispatcher} connects the three, and {@link
 * wheelroute.net.requests.Exchange} owns one request from its acceptance to its final response.
 * Everything here runs on the event loop's thread.
 *
 * <p>A request can be rejected in these places, in this order:
 *
 * <ol>
 *   <li>{@link wheelroute.net.clients.ConnectionLimit}: too many connections (503).
 *   <li>{@link wheelroute.net.clients.ClientRequestDecoder} and {@link
 *       wheelroute.net.clients.ClientRequest}: malformed, too large, or incomplete for too long
 *       (4xx).
 *   <li>{@link wheelroute.net.clients.MemoryQuota}: no memory for its body (503).
 *   <li>{@code RequestFactory}: unknown class or missing key (4xx).
 *   <li>{@link wheelroute.net.requests.RequestDispatcher#accept}: its id is open (409), or its
 *       deadline has passed (503).
 *   <li>{@code DrainAdmission}: it would not complete before the process ends (503).
 *   <li>{@link wheelroute.decision.order.KeyQueues}: too late in the queue of its key.
 *   <li>{@link wheelroute.decision.routing.RequestPlacer}: no attempt is permitted, no worker is
 *       eligible, or the expected wait is too long.
 * </ol>
 *
 * <p>The last two answer 503, or 502 if a retry by the client might do harm.
 */
package wheelroute.net.requests;
