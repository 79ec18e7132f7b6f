package wheelroute.kit.cli;

import java.util.ArrayList;
import java.util.List;

/** Parses the values of the option --seed, which are integers or ranges such as 1..20. */
final class SeedRange {
    private static final String SEPARATOR = "..";
    private static final long MAX_SPAN = 1000;

    private SeedRange() {}

    static List<Long> parseAll(List<String> texts) throws CommandLineException {
        List<Long> seeds = new ArrayList<>();
        for (String text : texts) {
            try {
                parse(text, seeds);
            } catch (NumberFormatException e) {
                throw new CommandLineException(
                        "--seed: expected an integer or a range such as 1..20, got " + text);
            }
        }
        return seeds;
    }

    private static void parse(String text, List<Long> seeds) throws CommandLineException {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            seeds.add(Long.parseLong(text.trim()));
            return;
        }
        long first = Long.parseLong(text.substring(0, separator).trim());
        long last = Long.parseLong(text.substring(separator + SEPARATOR.length()).trim());
        if (last < first || last - first > MAX_SPAN) {
            throw new CommandLineException(
                    "--seed: expected an ascending range that spans at most "
                            + MAX_SPAN
                            + ", got "
                            + text);
        }
        for (long seed = first; seed <= last; seed++) {
            seeds.add(seed);
        }
    }
}
