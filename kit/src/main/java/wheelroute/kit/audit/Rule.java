package wheelroute.kit.audit;

/**
 * The rules that a run must keep: the operators' four, and that no process crashes. The constants'
 * names in lower case are keys of reports.
 */
public enum Rule {
    ONE_ANSWER("exactly one final answer, in time, and nothing after it"),
    NO_EFFECT_TWICE("no effect twice"),
    NO_LATE_LAUNCH("no launch to a worker that was told draining or gone"),
    COLD_WORKER("a cold worker is not pushed over"),
    STAYS_UP("no process ends that nobody told to");

    public final String description;

    Rule(String text) {
        this.description = text;
    }
}
