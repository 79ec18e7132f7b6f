/**
 * The endpoint watch, which polls discovery, and the format of the endpoint list.
 *
 * <p>Responsibilities:
 *
 * <ul>
 *   <li>keeping the list up to date: {@link wheelroute.net.discovery.EndpointWatch};
 *   <li>the time and the timeout of each call: {@link
 *       wheelroute.net.discovery.DiscoveryCallPolicy};
 *   <li>a connection and its calls: {@link wheelroute.net.discovery.DiscoveryCall};
 *   <li>the format of the list: {@link wheelroute.net.discovery.EndpointList};
 *   <li>the decision whether the list is too old to be used: {@link
 *       wheelroute.decision.endpoints.EndpointLease}, outside this package. The watch reports each
 *       confirmation and each overload to its {@link
 *       wheelroute.net.discovery.EndpointWatch.Listener}, the request dispatcher, which passes them
 *       to the policy's lease.
 * </ul>
 */
package wheelroute.net.discovery;
