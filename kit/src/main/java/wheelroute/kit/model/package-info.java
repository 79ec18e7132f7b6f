/**
 * Models what surrounds a dispatcher: workers, discovery, clients and faults. Without I/O, clock or
 * thread: time comes from a {@link wheelroute.kit.model.Timeline}.
 */
package wheelroute.kit.model;
