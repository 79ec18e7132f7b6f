package wheelroute.net.loop;

import java.io.IOException;

/** Thrown when a line of a stream exceeds its maximum length. */
public final class LineTooLongException extends IOException {
    private static final long serialVersionUID = 1;

    LineTooLongException(int maxLineBytes) {
        super("line exceeds the maximum length of " + maxLineBytes + " bytes");
    }
}
