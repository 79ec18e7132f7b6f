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
    /** Line of a member that is alive or suspected, in the answer of the admin server to PEERS. */
    private static final Pattern ALIVE = Pattern.compile("\\S+ \\d+ (alive|suspect) .*");

    private final EventLoop loop;
    private final Fleet fleet;
    private final int dispatchers;
    private final IntPredicate isListening;
    private final List<String> mismatches = new ArrayList<>();

    /**
     * Creates a check; nothing is called before {@link #start}.
     *
     * @param isListening whether a dispatcher accepts connections, by dispatcher number
     */
    MembershipCheck(EventLoop loop, Fleet fleet, int dispatchers, IntPredicate isListening) {
        this.loop = loop;
        this.fleet = fleet;
        this.dispatchers = dispatchers;
        this.isListening = isListening;
    }

    /**
     * Calls the admin servers of all processes that are not paused and compares their answers with
     * the running dispatchers. A missing answer within the timeout counts as a mismatch.
     */
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

    /**
     * Returns a description of each process whose number of live members differs from that of
     * running dispatchers; complete once the timeout of {@link #start} has passed.
     */
    List<String> mismatches() {
        return mismatches;
    }
}
