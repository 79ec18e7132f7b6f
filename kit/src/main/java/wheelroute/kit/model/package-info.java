/**
 * The model of what a dispatcher serves: workers, discovery, clients and faults. No I/O, no clock,
 * no thread: time comes from a {@link wheelroute.kit.model.Timeline}.
 */
package wheelroute.kit.model;
