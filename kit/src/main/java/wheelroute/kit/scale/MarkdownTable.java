package wheelroute.kit.scale;

/** Builds a Markdown table row by row. */
final class MarkdownTable {
    private final StringBuilder out = new StringBuilder();

    MarkdownTable(String... columnHeaders) {
        addRow(columnHeaders);
        out.append("|").append(" --- |".repeat(columnHeaders.length)).append('\n');
    }

    void addRow(String... cells) {
        out.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    String text() {
        return out.toString();
    }
}
