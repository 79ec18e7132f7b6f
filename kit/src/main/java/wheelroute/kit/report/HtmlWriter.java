package wheelroute.kit.report;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes reports as a self-contained HTML page. */
public final class HtmlWriter {
    private static final String KIT_RESOURCES = "/wheelroute/kit/report/";
    private static final String PLOT_RESOURCES = "/META-INF/resources/webjars/uplot/1.6.30/dist/";

    private HtmlWriter() {}

    /**
     * Returns a page that shows the reports.
     *
     * @param comparison the comparison of the reports as plain text; empty for none
     */
    public static String text(List<Report> reports, String comparison) {
        StringBuilder page = new StringBuilder("<h1>wheelroute rehearsal</h1>\n");
        if (!comparison.isEmpty()) {
            page.append("<h2>All runs</h2>\n<pre>")
                    .append(escapeHtml(comparison))
                    .append("</pre>\n");
        }
        for (int i = 0; i < reports.size(); i++) {
            Report report = reports.get(i);
            page.append("<h2>")
                    .append(
                            escapeHtml(
                                    report.run().scenario()
                                            + ", "
                                            + report.run().clock()
                                            + " clock, seed "
                                            + report.run().seed()
                                            + ", "
                                            + report.run().variant()))
                    .append(
                            report.holds()
                                    ? " <span class=\"holds\">holds</span>"
                                    : " <span class=\"fails\">does not hold</span>")
                    .append("</h2>\n<pre>")
                    .append(escapeHtml(TableWriter.text(report)))
                    .append("</pre>\n<div id=\"run-")
                    .append(i)
                    .append("\"></div>\n");
        }
        return page("wheelroute rehearsal", page.toString(), JsonWriter.text(reports), "page.js");
    }

    /**
     * Returns a page whose script plots the JSON data.
     *
     * @param body HTML, which is not escaped here
     * @param script the name of a resource in this package
     */
    public static String page(String title, String body, String json, String script) {
        // "</" is escaped in the JSON because it could end the script element early.
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                + title
                + "</title>\n<style>"
                + resource(PLOT_RESOURCES + "uPlot.min.css")
                + resource(KIT_RESOURCES + "page.css")
                + "</style></head><body>\n"
                + body
                + "<script id=\"data\" type=\"application/json\">"
                + json.replace("</", "<\\/")
                + "</script>\n<script>"
                + resource(PLOT_RESOURCES + "uPlot.iife.min.js")
                + "</script>\n<script>"
                + resource(KIT_RESOURCES + script)
                + "</script>\n</body></html>\n";
    }

    /** Returns the text with HTML special characters escaped. */
    public static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String resource(String path) {
        try (InputStream in = HtmlWriter.class.getResourceAsStream(path)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read resource " + path, e);
        }
    }
}
