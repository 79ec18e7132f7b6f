/**
 * Handover between the processes of one dispatcher: a successor process finds the running process,
 * receives its state and replaces it.
 *
 * <p>{@link wheelroute.net.handover.Handover} is the entry point, and {@link
 * wheelroute.net.handover.MessageType} lists the messages. The protocol is described in
 * docs/design/handover.md.
 */
package wheelroute.net.handover;
