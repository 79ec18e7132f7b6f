package wheelroute.kit.scenario;

/** The remote side of the dispatchers' links that a fault affects. */
public enum LinkKind implements KeyedConstant {
    WORKERS("workers"),
    DISCOVERY("list"),
    CLIENTS("clients"),
    /** The other dispatchers. Links between two targets of the same fault are not affected. */
    PEERS("peers");

    private final String key;

    LinkKind(String key) {
        this.key = key;
    }

    @Override
    public String key() {
        return key;
    }
}
