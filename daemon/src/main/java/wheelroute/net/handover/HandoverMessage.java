package wheelroute.net.handover;

/**
 * A message between two processes of a dispatcher, which is encoded as one line.
 *
 * @param body the text after the type's name and a space; empty for none
 */
record HandoverMessage(MessageType type, String body) {
    private static final char SEPARATOR = ' ';

    /** Decodes a line, given without its line feed. */
    static HandoverMessage decode(String line) {
        int separator = line.indexOf(SEPARATOR);
        return separator < 0
                ? new HandoverMessage(MessageType.ofWireName(line), "")
                : new HandoverMessage(
                        MessageType.ofWireName(line.substring(0, separator)),
                        line.substring(separator + 1));
    }

    /** Encodes the message as a line, including the line feed. */
    String encode() {
        return body.isEmpty() ? type.wireName() + "\n" : type.wireName() + SEPARATOR + body + "\n";
    }
}
