package wheelroute.kit.cli;

/** Exit codes, as docs/rehearsing.md lists them. */
final class Exit {
    static final int HOLDS = 0;

    /** Input that cannot be used, or a run that could not go on. */
    static final int BAD_INPUT = 1;

    /** What picocli itself ends with on a wrong command line. */
    static final int BAD_USAGE = 2;

    /** A rule was broken, or something expected does not hold. */
    static final int DOES_NOT_HOLD = 3;

    /** This machine was too busy to say: never a pass. */
    static final int NOT_JUDGED = 4;

    /** Stopped from outside: what was written is partial. */
    static final int STOPPED = 130;

    private Exit() {}
}
