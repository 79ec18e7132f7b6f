package wheelroute.net.handover;

/**
 * A message between two processes of one dispatcher, which is one line on the wire.
 *
 * @param body what follows the type's name and a space; empty for none
 */
record HandoverMessage(MessageType type, String body) {
    private static final char SEPARATOR = ' ';

    /** Parses a line without its line feed. */
    static HandoverMessage decode(String line) {
        int separator = line.indexOf(SEPARATOR);
        return separator < 0
                ? new HandoverMessage(MessageType.ofWireName(line), "")
                : new HandoverMessage(
                        MessageType.ofWireName(line.substring(0, separator)),
                        line.substring(separator + 1));
    }

    /** Returns the line, including its line feed. */
    String encode() {
        return body.isEmpty() ? type.wireName() + "\n" : type.wireName() + SEPARATOR + body + "\n";
    }
}
