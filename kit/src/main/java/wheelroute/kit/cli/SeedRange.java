package wheelroute.kit.cli;

import java.util.ArrayList;
import java.util.List;

/** Parses the values of the option --seed: numbers, and ranges such as 1..20. */
final class SeedRange {
    private static final String SEPARATOR = "..";
    private static final long MAX_LENGTH = 1000;

    private SeedRange() {}

    static List<Long> parseAll(List<String> texts) throws CommandLineException {
        List<Long> seeds = new ArrayList<>();
        for (String text : texts) {
            try {
                parse(text, seeds);
            } catch (NumberFormatException e) {
                throw new CommandLineException(
                        "--seed: " + text + " is no whole number and no range");
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
        if (last < first || last - first > MAX_LENGTH) {
            throw new CommandLineException(
                    "--seed: " + text + " is no range of up to " + MAX_LENGTH);
        }
        for (long seed = first; seed <= last; seed++) {
            seeds.add(seed);
        }
    }
}
