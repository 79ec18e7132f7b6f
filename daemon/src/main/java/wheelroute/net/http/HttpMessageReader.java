package wheelroute.net.http;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * What HTTP requests and responses have in common: header fields, an end, and whether their
 * connection stays open.
 */
public abstract class HttpMessageReader implements HttpParser.HttpHandler {
    /** By their names in lower case; of several with one name the last. */
    protected final Map<String, String> fields = new HashMap<>();

    private boolean keepsOpen;
    private boolean complete;

    /**
     * Sets up the parser of one connection without its cache of fields. The cache takes some 100 KB
     * from the first message on: a thousand connections would fill a small dispatcher's heap.
     */
    protected static HttpParser withoutHeaderCache(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }

    /** A message has begun; a version other than 1.1 closes its connection after it. */
    protected void begin(HttpVersion version) {
        fields.clear();
        keepsOpen = version == HttpVersion.HTTP_1_1;
    }

    /** Whether the connection stays open after this message. */
    protected boolean keepsOpen() {
        return keepsOpen;
    }

    /** Whether a complete message has come, and has not been taken. */
    protected boolean isComplete() {
        return complete;
    }

    /** Returns true once for each complete message. */
    protected boolean takeComplete() {
        boolean was = complete;
        complete = false;
        return was;
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

    /** A field of this name has come before in the same message. */
    protected void onRepeatedField(String name) {
        // By default the last one counts.
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
