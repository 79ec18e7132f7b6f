/**
 * Accepted requests, between the clients, the policy and the workers.
 *
 * <p>{@link wheelroute.net.requests.RequestDispatcher} connects the three, and {@link
 * wheelroute.net.requests.Exchange} owns one request from its acceptance to its final response.
 * Everything here runs on the event loop's thread.
 */
package wheelroute.net.requests;
