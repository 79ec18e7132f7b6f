/** Accepted requests, between the policy, the clients and the workers. */
package wheelroute.net.requests;
