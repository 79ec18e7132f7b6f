/**
 * Models the environment of a dispatcher: workers, discovery, clients and faults. The model has no
 * I/O, clock or thread of its own; time comes from a {@link wheelroute.kit.model.Timeline}.
 */
package wheelroute.kit.model;
