package wheelroute.net.http;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Base of the parser callbacks for HTTP requests and responses. Collects the header fields, and
 * determines when the message is complete and whether the connection stays open after it. Not
 * thread-safe.
 */
public abstract class HttpMessageReader implements HttpParser.HttpHandler {
    /**
     * The values of the kept header fields by lower-case name. A repeated name has its last value.
     */
    protected final Map<String, String> fields = new HashMap<>();

    /** The lower-case names of the fields that are kept. */
    private final Set<String> keptFields;

    private boolean keepsOpen;
    private boolean complete;

    /**
     * Creates a reader that keeps some fields only. A field takes many times its length in the
     * heap, and a peer may send a thousand in one message.
     *
     * @param keptFields the lower-case names of the fields that are kept
     */
    protected HttpMessageReader(Set<String> keptFields) {
        this.keptFields = keptFields;
    }

    /**
     * Disables a parser's cache of header fields and returns the parser. From the first message on,
     * the cache takes some 100 KB per connection, so that a thousand connections would fill the
     * heap of a small dispatcher.
     */
    protected static HttpParser withoutHeaderCache(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }

    /** Begins a message. The connection closes after a message of a version other than 1.1. */
    protected void beginMessage(HttpVersion version) {
        fields.clear();
        keepsOpen = version == HttpVersion.HTTP_1_1;
    }

    /** Whether the connection stays open after the current message. */
    protected boolean keepsOpen() {
        return keepsOpen;
    }

    /** Whether a complete message has been read that {@link #takeComplete} has not yet reported. */
    protected boolean isComplete() {
        return complete;
    }

    /** Returns true once for each complete message. The next message can then be read. */
    protected boolean takeComplete() {
        boolean wasComplete = complete;
        complete = false;
        return wasComplete;
    }

    @Override
    public void parsedHeader(HttpField field) {
        String name = field.getName().toLowerCase(Locale.ROOT);
        if (keptFields.contains(name)
                && fields.put(name, field.getValue() == null ? "" : field.getValue()) != null) {
            onRepeatedField(name);
        }
        if (name.equals("connection") && field.contains("close")) {
            keepsOpen = false;
        }
    }

    /** Called for a kept field whose name has occurred before in the same message. */
    protected void onRepeatedField(String name) {
        // By default the last value of the field is used.
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        complete = true;
        return true;
    }
}
