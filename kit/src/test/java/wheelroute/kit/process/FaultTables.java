package wheelroute.kit.process;

/** Writes faults as tables of a scenario's TOML text. */
final class FaultTables {
    private FaultTables() {}

    /**
     * Returns the table of one fault.
     *
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

    /** Returns the table of a replacement within four seconds. */
    static String replacement(double at, String targets, String how) {
        return fault("dispatcher-replace", at, 4, targets, "how = \"" + how + "\"");
    }
}
