package wheelroute.net.discovery;

import java.util.ArrayDeque;

/**
 * The calls that have timed out, but stay open beside the next call.
 *
 * <p>A timeout alone does not show whether a connection was lost or discovery is slow, be it before
 * its response or amid the parts of it. A new call is needed if the connection was lost; the old
 * call is needed if discovery is slow, since it is ahead of the new one. Whichever is answered
 * completely first continues the watch.
 *
 * <p>Confined to the event loop's thread.
 */
final class LateCalls {
    /** Maximum number of calls, which limits the connections to a discovery that never responds. */
    private static final int MAX_CALLS = 3;

    /** The open calls, the oldest first. */
    private final ArrayDeque<DiscoveryCall> calls = new ArrayDeque<>();

    boolean contains(DiscoveryCall call) {
        return calls.contains(call);
    }

    /**
     * Returns whether a call that has timed out may be added. Of calls that have received a part of
     * their response only one is kept, because a part of a list occupies memory.
     */
    boolean accepts(DiscoveryCall call) {
        return !call.isReadingResponse()
                || calls.stream().noneMatch(DiscoveryCall::isReadingResponse);
    }

    /** Adds a call that has timed out. Closes the oldest one if there are too many. */
    void add(DiscoveryCall call) {
        calls.addLast(call);
        if (calls.size() > MAX_CALLS) {
            calls.removeFirst().close();
        }
    }

    /** Removes a call without closing it. */
    void remove(DiscoveryCall call) {
        calls.remove(call);
    }

    /** Closes and removes all calls. */
    void closeAll() {
        while (!calls.isEmpty()) {
            // The call is removed first, because its end must not count as a failure.
            calls.removeFirst().close();
        }
    }
}
