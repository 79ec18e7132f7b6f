/**
 * Replacement of a running process by its successor: how the processes of one dispatcher find each
 * other, and what they send each other.
 *
 * <p>{@link wheelroute.net.handover.Handover} is the entry, and {@link
 * wheelroute.net.handover.MessageType} lists the messages. The protocol is described in
 * docs/design/handover.md.
 */
package wheelroute.net.handover;
