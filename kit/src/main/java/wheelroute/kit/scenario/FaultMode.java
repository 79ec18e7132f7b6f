package wheelroute.kit.scenario;

/** How a dispatcher's process is started or replaced. */
public enum FaultMode implements KeyedConstant {
    /** With the same build and settings. */
    USUAL("usual"),
    /** With other settings: see {@link Scenario#changedSettings}. */
    CHANGED_SETTINGS("changed"),
    /** With the jar of an older build. */
    OLDER_BUILD("older"),
    /** The successor is killed before it has taken over. */
    SUCCESSOR_KILLED("new-killed"),
    /** The predecessor is killed while both processes run. */
    PREDECESSOR_KILLED("old-killed"),
    /** Both processes are paused for a second while both run. */
    BOTH_PAUSED("both-stopped");

    private final String key;

    FaultMode(String key) {
        this.key = key;
    }

    @Override
    public String key() {
        return key;
    }
}
