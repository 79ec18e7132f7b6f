package wheelroute.kit.audit;

/** The rules that a run must keep: four rules of the operators, and that no process crashes. */
public enum Rule {
    ONE_FINAL_ANSWER("one_answer", "exactly one final answer in time, and no attempt after it"),
    AT_MOST_ONE_EFFECT("no_effect_twice", "no request takes effect twice"),
    NO_ATTEMPT_WHEN_DRAINING(
            "no_late_launch", "no attempt at a worker known to be draining or removed"),
    NO_SLOW_START_OVERLOAD("cold_worker", "no worker collapses under overload in slow start"),
    NO_CRASH("stays_up", "no dispatcher crashes");

    private final String key;
    private final String description;

    Rule(String key, String description) {
        this.key = key;
        this.description = description;
    }

    /** Returns the rule's key in JSON reports, which must not change. */
    public String key() {
        return key;
    }

    /** Returns the rule's wording for text reports. */
    public String description() {
        return description;
    }
}
