package wheelroute.kit.scale;

import java.util.List;
import wheelroute.kit.report.HtmlWriter;

/** One page with all lines and their points; it needs nothing beside itself. */
public final class ScalePage {
    private ScalePage() {}

    /**
     * The results as a page that needs no other file.
     *
     * @param verdict lines that judge a size; empty for none
     */
    public static String text(ScaleResults slopes, List<String> verdict) {
        StringBuilder body =
                new StringBuilder("<h1>wheelroute scale run</h1>\n<pre>")
                        .append(
                                HtmlWriter.escaped(
                                        slopes.machine()
                                                + "\n"
                                                + (slopes.notJudged().isEmpty()
                                                        ? "judged"
                                                        : "not judged: " + slopes.notJudged())
                                                + "\n"
                                                + String.join("\n", verdict)))
                        .append("</pre>\n");
        for (String name : slopes.fits().keySet()) {
            body.append("<div id=\"").append(name).append("\"></div>\n");
        }
        return HtmlWriter.page("wheelroute scale run", body.toString(), slopes.json(), "scale.js");
    }
}
