package wheelroute.kit.scenario;

/** Which of a dispatcher's links a fault affects. */
public enum LinkKind implements KeyedConstant {
    WORKERS("workers"),
    DISCOVERY("list"),
    CLIENTS("clients"),
    /** The other dispatchers; the targets of one fault keep their links to each other. */
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
