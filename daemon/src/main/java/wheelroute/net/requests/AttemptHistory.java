package wheelroute.net.requests;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheelroute.decision.EarlierAttempt;
import wheelroute.net.memory.MemoryQuota;

/**
 * Remembers the attempts that may have run of requests that are not open any more, by the ids that
 * their clients gave them. A client that has left, or whose connection was lost, may send its
 * request again, and must not cause a second effect. A request that arrives while there is no
 * memory to remember it has to be rejected.
 *
 * <p>Used on the event loop's thread only. Times are on the event loop's clock, in seconds.
 */
final class AttemptHistory {
    /** The memory for one request and its attempts, without the characters of its id. */
    private static final int BYTES_PER_REQUEST = 250;

    /**
     * The longest time for which a request is remembered because workers recognize its key: a
     * window of hours would use up the memory, and its client has given up long before.
     */
    private static final double MAX_WINDOW_SECONDS = 60;

    private final MemoryQuota quota;
    private final double retentionSeconds;

    /** By the ids of clients, in the order in which they are forgotten. */
    private final Map<String, RememberedEntry> entries = new LinkedHashMap<>();

    /**
     * The attempts of a request.
     *
     * @param clientId the id that the client gave to the request
     */
    record Entry(String clientId, List<EarlierAttempt> attempts) {}

    private record RememberedEntry(Entry entry, double forgetAt) {}

    /**
     * Creates an empty history.
     *
     * @param maxTimeoutSeconds the longest time that a client may wait for an answer
     * @param windowSeconds the longest time for which workers recognize a key
     */
    AttemptHistory(MemoryQuota quota, double maxTimeoutSeconds, double windowSeconds) {
        this.quota = quota;
        retentionSeconds = Math.max(maxTimeoutSeconds, Math.min(windowSeconds, MAX_WINDOW_SECONDS));
    }

    /** Returns whether one more request could be remembered. */
    boolean hasMemory(String clientId, double now) {
        forgetUntil(now);
        return quota.hasRoomFor(bytesOf(clientId));
    }

    /**
     * Remembers a request that has ended.
     *
     * @param attempts all attempts that may have run; none if it is empty
     * @return the entry; null if there is nothing to remember
     */
    Entry add(String clientId, List<EarlierAttempt> attempts, double now) {
        if (attempts.isEmpty()) {
            return null;
        }
        Entry entry = new Entry(clientId, List.copyOf(attempts));
        put(entry, now);
        return entry;
    }

    /** Adds an entry of another process, together with the attempts that are known here. */
    void merge(Entry imported, double now) {
        List<EarlierAttempt> attempts = new ArrayList<>(attemptsOf(imported.clientId(), now));
        attempts.addAll(imported.attempts());
        List<EarlierAttempt> distinct = attempts.stream().distinct().toList();
        put(new Entry(imported.clientId(), distinct), now);
    }

    private void put(Entry entry, double now) {
        forgetUntil(now);
        // An entry that is replaced moves to the end.
        if (entries.remove(entry.clientId()) == null) {
            quota.reserve(bytesOf(entry.clientId()));
        }
        entries.put(entry.clientId(), new RememberedEntry(entry, now + retentionSeconds));
    }

    /** Returns the attempts of the requests with this id; empty if none is remembered. */
    List<EarlierAttempt> attemptsOf(String clientId, double now) {
        forgetUntil(now);
        RememberedEntry remembered = entries.get(clientId);
        return remembered == null ? List.of() : remembered.entry.attempts();
    }

    /** Returns a copy of all entries. */
    List<Entry> all(double now) {
        forgetUntil(now);
        return entries.values().stream().map(RememberedEntry::entry).toList();
    }

    private void forgetUntil(double now) {
        Iterator<RememberedEntry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            RememberedEntry next = oldest.next();
            if (next.forgetAt > now) {
                return;
            }
            oldest.remove();
            quota.release(bytesOf(next.entry.clientId()));
        }
    }

    private static int bytesOf(String clientId) {
        return BYTES_PER_REQUEST + clientId.length();
    }
}
