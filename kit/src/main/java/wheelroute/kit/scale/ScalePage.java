package wheelroute.kit.scale;

import java.util.List;
import wheelroute.kit.report.HtmlWriter;

/** Writes the results of a scale run as an HTML page with a plot of each fitted line. */
public final class ScalePage {
    private static final String TITLE = "wheelroute scale run";
    private static final String SCRIPT = "scale.js";

    private ScalePage() {}

    /**
     * Returns the page as HTML that references no other files.
     *
     * @param exceededBounds one line of text for each bound that the deployment may exceed
     */
    public static String text(ScaleResults results, List<String> exceededBounds) {
        String summary =
                results.machine()
                        + "\n"
                        + (results.invalidReason().isEmpty()
                                ? "judged"
                                : "not judged: " + results.invalidReason())
                        + "\n"
                        + String.join("\n", exceededBounds);
        StringBuilder body =
                new StringBuilder("<h1>" + TITLE + "</h1>\n<pre>")
                        .append(HtmlWriter.escapeHtml(summary))
                        .append("</pre>\n");
        for (String name : results.fits().keySet()) {
            body.append("<div id=\"").append(name).append("\"></div>\n");
        }
        return HtmlWriter.page(TITLE, body.toString(), results.json(), SCRIPT);
    }
}
