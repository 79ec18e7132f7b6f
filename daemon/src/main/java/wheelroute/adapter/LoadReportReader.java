package wheelroute.adapter;

import wheelroute.decision.LoadReport;

/**
 * Reads the load reports of workers, which are comma-separated name:value pairs in the field {@code
 * stats}.
 */
final class LoadReportReader {
    /** Name of the pair that holds the number of free slots; all other pairs are ignored. */
    private static final String FREE_SLOTS = "x0";

    private LoadReportReader() {}

    /**
     * Reads the load report in the next field of the line.
     *
     * @return {@link LoadReport#NONE} if the field is missing or absent
     */
    static LoadReport read(LineReader line) throws WireException {
        String pairs = line.hasMore() ? line.readOptionalText("stats") : null;
        if (pairs == null) {
            return LoadReport.NONE;
        }
        double freeSlots = Double.NaN;
        int start = 0;
        while (start < pairs.length()) {
            int comma = pairs.indexOf(',', start);
            int end = comma < 0 ? pairs.length() : comma;
            int colon = pairs.indexOf(':', start);
            if (colon < 0 || colon > end) {
                throw line.error("expected a load report of name:value pairs");
            }
            double value = parseValue(line, pairs.substring(colon + 1, end));
            if (colon - start == FREE_SLOTS.length() && pairs.startsWith(FREE_SLOTS, start)) {
                freeSlots = value;
            }
            start = end + 1;
        }
        return new LoadReport(freeSlots);
    }

    private static double parseValue(LineReader line, String text) throws WireException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw line.error("'" + text + "' in a load report is not a number");
        }
    }
}
