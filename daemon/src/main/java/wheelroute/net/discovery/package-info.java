/**
 * The watch on discovery, and the endpoint list that it reads.
 *
 * <p>Where to find what:
 *
 * <ul>
 *   <li>how the list is kept up to date: {@link wheelroute.net.discovery.EndpointWatch};
 *   <li>when discovery is called, and how long a call may take: {@link
 *       wheelroute.net.discovery.DiscoveryCallPolicy};
 *   <li>one connection and its calls: {@link wheelroute.net.discovery.DiscoveryCall};
 *   <li>the format of the list: {@link wheelroute.net.discovery.EndpointList};
 *   <li>whether the list is too old to be used: not here, but in {@link
 *       wheelroute.decision.endpoints.EndpointLease}. The watch reports each confirmation and each
 *       overload to its {@link wheelroute.net.discovery.EndpointWatch.Listener}, the request
 *       dispatcher, which passes them to the policy's lease.
 * </ul>
 */
package wheelroute.net.discovery;
