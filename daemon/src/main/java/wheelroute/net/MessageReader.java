package wheelroute.net;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * What questions and answers have in common: fields, an end, and whether their connection stays
 * open.
 */
public abstract class MessageReader implements HttpParser.HttpHandler {
    /** By their names in small letters; of several of one name the last. */
    protected final Map<String, String> fields = new HashMap<>();

    private boolean keepsOpen;
    private boolean complete;

    /**
     * A parser for one connection. It does not remember fields to know them again: what for that it
     * would make with the first message takes some 100 KB, and a thousand connections the heap of a
     * small dispatcher.
     */
    protected static HttpParser lean(HttpParser parser) {
        parser.setHeaderCacheSize(0);
        return parser;
    }

    protected void begin(HttpVersion version) {
        fields.clear();
        keepsOpen = version == HttpVersion.HTTP_1_1;
    }

    protected boolean keepsOpen() {
        return keepsOpen;
    }

    protected boolean isComplete() {
        return complete;
    }

    /** True once for each whole message. */
    protected boolean takeComplete() {
        boolean was = complete;
        complete = false;
        return was;
    }

    @Override
    public void parsedHeader(HttpField field) {
        String name = field.getName().toLowerCase(Locale.ROOT);
        if (fields.put(name, field.getValue() == null ? "" : field.getValue()) != null) {
            comesAgain(name);
        }
        if (name.equals("connection") && field.contains("close")) {
            keepsOpen = false;
        }
    }

    /** A field of this name has come before, in the same message. */
    protected void comesAgain(String name) {
        // The last one counts, for who does not mind.
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
