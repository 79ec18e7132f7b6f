package wheelroute.kit.scenario;

/** How a dispatcher's process is restarted or replaced. */
public enum FaultMode implements KeyedConstant {
    /** The new process has the same build and settings. */
    UNCHANGED("usual"),
    /** The new process has other settings; see {@link Scenario#changedSettings}. */
    CHANGED_SETTINGS("changed"),
    /** The new process runs the jar of an older build. */
    OLDER_BUILD("older"),
    /** The successor is killed before it has taken over. */
    SUCCESSOR_KILLED("new-killed"),
    /** The predecessor is killed while both processes run. */
    PREDECESSOR_KILLED("old-killed"),
    /** Predecessor and successor are paused for one second while both run. */
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
