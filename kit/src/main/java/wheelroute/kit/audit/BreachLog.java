package wheelroute.kit.audit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The breaches of a run. All are counted, and the first ones are kept with their history. */
final class BreachLog {
    private static final int MAX_DETAILED_BREACHES = 20;

    private final List<Auditor.Breach> breaches = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /** The start of the run, to which times in histories are relative. */
    private double start;

    BreachLog(double start) {
        this.start = start;
    }

    void startAt(double newStart) {
        start = newStart;
    }

    /**
     * Adds a breach.
     *
     * @param record the record of the request concerned; null if the breach concerns none
     */
    void add(Rule rule, String description, RequestRecord record) {
        counts.merge(rule, 1, Integer::sum);
        if (breaches.size() < MAX_DETAILED_BREACHES) {
            List<String> history = record == null ? List.of() : record.history(start);
            breaches.add(new Auditor.Breach(rule, description, history));
        }
    }

    List<Auditor.Breach> breaches() {
        return List.copyOf(breaches);
    }

    int count(Rule rule) {
        return counts.getOrDefault(rule, 0);
    }

    int total() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }
}
