package wheelroute.kit.cli;

/** Exit codes of the commands, which docs/rehearsing.md lists. */
final class ExitCode {
    static final int SUCCESS = 0;

    /** An input is invalid, or a run could not be completed. */
    static final int INVALID_INPUT = 1;

    /** Wrong options or arguments; picocli itself exits with this code. */
    static final int USAGE_ERROR = 2;

    /** A rule was broken, an expectation or a comparison failed, or a server answered "fail". */
    static final int CHECK_FAILED = 3;

    /** The machine was too busy for the results to be judged. */
    static final int NOT_JUDGED = 4;

    /** The command was stopped by a signal, and its output is partial. */
    static final int STOPPED = 130;

    private ExitCode() {}
}
