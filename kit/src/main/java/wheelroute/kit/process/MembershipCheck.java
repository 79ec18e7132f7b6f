package wheelroute.kit.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import wheelroute.net.loop.EventLoop;

/**
 * Checks at the end of a run that each dispatcher believes just those peers alive that are; on the
 * loop's thread.
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

    /** Calls all processes that are not paused; their answers count until the timeout. */
    void start(double timeout) {
        for (int i = 0; i < dispatchers; i++) {
            int dispatcher = i;
            for (DaemonProcess process : fleet.processes(i)) {
                if (process.adminPort() == 0 || fleet.isPaused(i)) {
                    continue;
                }
                AdminCall.call(
                        loop,
                        Fleet.address(process.adminPort()),
                        "PEERS",
                        timeout,
                        answer -> compare(dispatcher, answer));
            }
        }
    }

    private void compare(int dispatcher, String answer) {
        long believed =
                answer == null
                        ? 0
                        : answer.lines().filter(line -> ALIVE.matcher(line).matches()).count();
        long alive = IntStream.range(0, dispatchers).filter(isListening).count();
        if (believed != alive) {
            String text = answer == null ? "no answer" : answer.replace("\n", "; ");
            mismatches.add(
                    "n"
                            + dispatcher
                            + " holds "
                            + believed
                            + " of "
                            + alive
                            + " to be there: "
                            + text);
        }
    }

    /** One description for each process that is wrong. */
    List<String> mismatches() {
        return mismatches;
    }
}
