package wheelroute.kit.cli;

/** Exit codes, as docs/rehearsing.md lists them. */
final class Exit {
    static final int HOLDS = 0;

    /** An input cannot be used, or a run could not be completed. */
    static final int BAD_INPUT = 1;

    /** What picocli itself ends with on a wrong command line. */
    static final int BAD_USAGE = 2;

    /** A rule was broken, or an expectation does not hold. */
    static final int DOES_NOT_HOLD = 3;

    /** The machine was too busy for a judgement. */
    static final int NOT_JUDGED = 4;

    /** Stopped by a signal: what was written is partial. */
    static final int STOPPED = 130;

    private Exit() {}
}
