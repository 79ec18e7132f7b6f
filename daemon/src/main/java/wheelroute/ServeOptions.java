package wheelroute;

/**
 * The command line options of {@code serve}.
 *
 * @param logFormat a value of {@link PersistentLogManager#FORMAT_PROPERTY}; null if not given
 * @param configFile path of the configuration file; null if not given
 */
record ServeOptions(String logFormat, String configFile) {
    private static final String LOG_FORMAT_OPTION = "--log-format";

    /**
     * Parses the arguments, of which the first is the subcommand.
     *
     * @throws UsageException if an option is unknown or has an invalid value, or an argument is
     *     surplus
     */
    static ServeOptions parse(String[] args) throws UsageException {
        String logFormat = null;
        String configFile = null;
        int next = 1;
        while (next < args.length) {
            boolean isLast = next == args.length - 1;
            if (args[next].equals(LOG_FORMAT_OPTION) && !isLast && isLogFormat(args[next + 1])) {
                logFormat = args[next + 1];
                next += 2;
            } else if (isLast && !args[next].startsWith("-")) {
                configFile = args[next];
                next++;
            } else {
                throw new UsageException("unexpected argument: " + args[next]);
            }
        }
        return new ServeOptions(logFormat, configFile);
    }

    private static boolean isLogFormat(String value) {
        return value.equals("text") || value.equals("json");
    }
}
