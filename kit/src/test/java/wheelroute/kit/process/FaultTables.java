package wheelroute.kit.process;

/** Formats faults as tables of a scenario file in TOML. */
final class FaultTables {
    private FaultTables() {}

    /**
     * Returns the table of one fault.
     *
     * @param at start of the fault in seconds
     * @param length duration of the fault in seconds
     * @param moreKeys further lines of the table
     */
    static String fault(String kind, double at, double length, String... moreKeys) {
        return "[[faults]]\nkind = \""
                + kind
                + "\"\nat = "
                + at
                + "\nfor = "
                + length
                + "\n"
                + String.join("\n", moreKeys)
                + "\n";
    }

    /** Returns the table of a process replacement that must be completed within four seconds. */
    static String replacement(double at, String targets, String how) {
        return fault("dispatcher-replace", at, 4, targets, "how = \"" + how + "\"");
    }
}
