package wheelroute.kit.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import wheelroute.net.loop.EventLoop;

/**
 * Checks at the end of a run that each dispatcher counts exactly the running peers as alive. Used
 * on the event loop's thread.
 */
final class MembershipCheck {
    /** A member that is alive or suspected, in the answer of the admin server. */
    private static final Pattern ALIVE = Pattern.compile("\\S+ \\d+ (alive|suspect) .*");

    private final EventLoop loop;
    private final Fleet fleet;
    private final int dispatchers;
    private final IntPredicate isListening;
    private final List<String> mismatches = new ArrayList<>();

    /**
     * Creates a check that has not been made.
     *
     * @param isListening whether a dispatcher is up
     */
    MembershipCheck(EventLoop loop, Fleet fleet, int dispatchers, IntPredicate isListening) {
        this.loop = loop;
        this.fleet = fleet;
        this.dispatchers = dispatchers;
        this.isListening = isListening;
    }

    /** Calls all processes that are not paused; no answer within the timeout is a mismatch. */
    void start(double timeoutSeconds) {
        for (int i = 0; i < dispatchers; i++) {
            int dispatcher = i;
            for (DaemonProcess process : fleet.processes(i)) {
                if (process.adminPort() == 0 || fleet.isPaused(i)) {
                    continue;
                }
                AdminCall.call(
                        loop,
                        Loopback.address(process.adminPort()),
                        "PEERS",
                        timeoutSeconds,
                        answer -> compare(dispatcher, answer));
            }
        }
    }

    private void compare(int dispatcher, String answer) {
        long believedAlive =
                answer == null
                        ? 0
                        : answer.lines().filter(line -> ALIVE.matcher(line).matches()).count();
        long alive = IntStream.range(0, dispatchers).filter(isListening).count();
        if (believedAlive != alive) {
            String text = answer == null ? "no answer" : answer.replace("\n", "; ");
            mismatches.add(
                    "n"
                            + dispatcher
                            + " counts "
                            + believedAlive
                            + " members as alive, "
                            + alive
                            + " are: "
                            + text);
        }
    }

    /** Returns a description of each process whose membership is wrong. */
    List<String> mismatches() {
        return mismatches;
    }
}
