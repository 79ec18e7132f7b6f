package wheelroute.kit.scale;

/** Builds a Markdown table line by line. */
final class MarkdownTable {
    private final StringBuilder out = new StringBuilder();

    MarkdownTable(String... columnHeads) {
        addRow(columnHeads);
        out.append("|").append(" --- |".repeat(columnHeads.length)).append('\n');
    }

    void addRow(String... cells) {
        out.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    String text() {
        return out.toString();
    }
}
