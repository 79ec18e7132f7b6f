package wheelroute.net.http;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Reads what HTTP requests and responses have in common: header fields, the end of the message, and
 * whether the connection stays open after it. Not thread-safe.
 */
public abstract class HttpMessageReader implements HttpParser.HttpHandler {
    /** By their names in lower case; the last one if a name is repeated. */
    protected final Map<String, String> fields = new HashMap<>();

    private boolean keepsOpen;
    private boolean complete;

    /**
     * Disables a parser's cache of header fields. It takes some 100 KB per connection from the
     * first message on, so that a thousand connections would fill the heap of a small dispatcher.
     */
    protected static HttpParser withoutHeaderCache(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }

    /** Begins a message; a version other than 1.1 closes its connection after it. */
    protected void begin(HttpVersion version) {
        fields.clear();
        keepsOpen = version == HttpVersion.HTTP_1_1;
    }

    /** Whether the connection stays open after this message. */
    protected boolean keepsOpen() {
        return keepsOpen;
    }

    /**
     * Whether a complete message has been read, and not yet been taken by {@link #takeComplete}.
     */
    protected boolean isComplete() {
        return complete;
    }

    /** Returns true once for each complete message, after which the next one can be read. */
    protected boolean takeComplete() {
        boolean wasComplete = complete;
        complete = false;
        return wasComplete;
    }

    @Override
    public void parsedHeader(HttpField field) {
        String name = field.getName().toLowerCase(Locale.ROOT);
        if (fields.put(name, field.getValue() == null ? "" : field.getValue()) != null) {
            onRepeatedField(name);
        }
        if (name.equals("connection") && field.contains("close")) {
            keepsOpen = false;
        }
    }

    /** Reacts to a field whose name has occurred before in the same message. */
    protected void onRepeatedField(String name) {
        // By default the last one is used.
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
