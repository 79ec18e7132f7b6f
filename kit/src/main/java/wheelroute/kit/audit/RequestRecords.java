package wheelroute.kit.audit;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import wheelroute.kit.model.ClientAttempt;

/** The records of the requests for which an event may still break a rule. */
final class RequestRecords {
    /** The time for which a record is kept after its deadline. */
    private static final double RETENTION_SECONDS = 1;

    private final Map<Long, RequestRecord> byKey = new HashMap<>();
    private final Deque<RequestRecord> byAge = new ArrayDeque<>();

    /** The workers that have started a non-idempotent request, by request number. */
    private final Map<Integer, Set<Integer>> startedAt = new HashMap<>();

    void add(RequestRecord record) {
        byKey.put(record.clientAttempt.key(), record);
        byAge.addLast(record);
    }

    /** Returns the record of a client's attempt by its key; null if it was removed. */
    RequestRecord find(long key) {
        return byKey.get(key);
    }

    void forEach(Predicate<RequestRecord> condition, Consumer<RequestRecord> task) {
        byKey.values().stream().filter(condition).forEach(task);
    }

    Collection<RequestRecord> byAge() {
        return byAge;
    }

    /**
     * Adds a worker that has started a request, in any attempt of the client.
     *
     * @return whether a worker had started the request before
     */
    boolean addStart(int request, int worker) {
        Set<Integer> workers = startedAt.computeIfAbsent(request, key -> new HashSet<>());
        boolean isRepeated = !workers.isEmpty();
        workers.add(worker);
        return isRepeated;
    }

    /** Removes the records whose deadline, plus retention, slack and link delay, has passed. */
    void removeExpired(double now, double slackSeconds, double maxLinkDelaySeconds) {
        while (!byAge.isEmpty()) {
            RequestRecord oldest = byAge.peekFirst();
            ClientAttempt clientAttempt = oldest.clientAttempt;
            // A dispatcher that cannot know when the request was sent may take twice as long.
            double deadlineSeconds =
                    oldest.requestClass().deadlineSeconds() * (oldest.sendTimeUnknown ? 2 : 1);
            double expiry =
                    clientAttempt.sentAt() + deadlineSeconds + RETENTION_SECONDS + slackSeconds;
            if (now < expiry + maxLinkDelaySeconds) {
                return;
            }
            byAge.pollFirst();
            byKey.remove(clientAttempt.key());
            startedAt.remove(clientAttempt.request().number());
        }
    }

    int size() {
        return byKey.size();
    }
}
