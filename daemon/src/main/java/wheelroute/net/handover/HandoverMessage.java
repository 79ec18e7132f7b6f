package wheelroute.net.handover;

/**
 * One line between two processes of a dispatcher.
 *
 * @param body what follows the type's name after a blank; empty for none
 */
record HandoverMessage(MessageType type, String body) {
    private static final char SEPARATOR = ' ';

    static HandoverMessage decode(String line) {
        int separator = line.indexOf(SEPARATOR);
        return separator < 0
                ? new HandoverMessage(MessageType.ofWireName(line), "")
                : new HandoverMessage(
                        MessageType.ofWireName(line.substring(0, separator)),
                        line.substring(separator + 1));
    }

    /** The line, with its line feed. */
    String encode() {
        return body.isEmpty() ? type.wireName() + "\n" : type.wireName() + SEPARATOR + body + "\n";
    }
}
