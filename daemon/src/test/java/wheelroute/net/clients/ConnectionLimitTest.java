package wheelroute.net.clients;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.net.clients.ConnectionLimit.Stage;

/**
 * Evictions with a limit of four connections. The first column of each row has the earlier updates
 * in order, each as "name stage time" or, for a closed connection, "name gone".
 */
public class ConnectionLimitTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final double NOW = 10;
    private final Set<String> unread = new HashSet<>();

    private ConnectionLimit<String> limitAfter(String updates) {
        ConnectionLimit<String> limit = new ConnectionLimit<>(MAX_CONNECTIONS);
        unread.clear();
        for (String update : updates.split(", ")) {
            String[] words = update.split(" ");
            if (words[1].equals("gone")) {
                limit.remove(words[0]);
            } else {
                limit.update(
                        words[0],
                        Stage.valueOf(words[1].toUpperCase(Locale.ROOT)),
                        Double.parseDouble(words[2]));
            }
        }
        return limit;
    }

    @DataProvider
    public Object[][] evictions() {
        return new Object[][] {
            // The columns are the updates, the connections with unread bytes, and the one to evict.
            {"a new 1, b new 1, c new 1", "", ""},
            {"a in_flight 1, b in_flight 1, c in_flight 1, d in_flight 1", "", ""},
            {"a in_flight 1, b closing 9.99, c new 1, d idle_no_request 1", "", "b"},
            {"a in_flight 1, b reading 1, c new 1, d idle_no_request 9.99", "", "d"},
            {"a in_flight 1, b reading 1, c new 9.5, d idle_client 1", "", "c"},
            {"a in_flight 1, c reading 1, b reading 2, d idle_client 1", "", "c"},
            {"a in_flight 1, b reading 1, c reading 2, b reading 3, d idle_client 3", "", "c"},
            {"a in_flight 1, b reading 9.9, c new 9.9, d idle_client 1", "", "d"},
            {"a reading 9.9, b reading 9.9, c new 9.9, d idle_client 1", "", ""},
            {"a new 1, b new 2, c in_flight 1, d in_flight 1", "a", "b"},
            {"a new 1, b reading 2, c in_flight 1, d idle_client 1", "a b", "d"},
            {"a new 1, b new 2, c new 3, d idle_client 1", "a b c", ""},
            {"a idle_client 5, b idle_client 4, c in_flight 1, d in_flight 1", "", "a"},
            {
                "a idle_client 1, a in_flight 2, a idle_client 3, b idle_client 2, c in_flight 1, d in_flight 1",
                "",
                "a"
            },
            {
                "a idle_client 1, b idle_client 2, a in_flight 3, a idle_client 4, c in_flight 1, d in_flight 1",
                "",
                "b"
            },
            {"a new 1, b new 1, c new 1, d new 1, a gone", "", ""},
        };
    }

    @Test(dataProvider = "evictions")
    public void evictsByStageAndAge(String updates, String unreadOf, String evicted) {
        ConnectionLimit<String> limit = limitAfter(updates);
        unread.addAll(List.of(unreadOf.split(" ")));
        assertEquals(limit.connectionToEvict(NOW, unread::contains).orElse(""), evicted);
    }

    /** Reading the unread bytes of one connection may change its stage, and close another one. */
    @Test
    public void skipsConnectionsThatChangeDuringTheChoice() {
        ConnectionLimit<String> limit = limitAfter("a new 1, b new 2, c new 3, d in_flight 1");
        assertEquals(
                limit.connectionToEvict(
                                NOW,
                                name -> {
                                    if (name.equals("a")) {
                                        limit.update("a", Stage.IN_FLIGHT, NOW);
                                        limit.remove("b");
                                    }
                                    return name.equals("a");
                                })
                        .orElse(""),
                "c");
        assertEquals(limit.count(), 3);
    }

    @DataProvider
    public Object[][] expectedRequests() {
        return new Object[][] {
            {"a idle_client 1, b in_flight 1, c closing 9.99, d idle_no_request 9.99", false},
            {"a reading 1", false},
            {"a reading 9.1", true},
            {"a reading 1, a reading 9.5", true},
            {"a new 9", false},
            {"a new 9.9", true},
            {"a reading 9.5, a in_flight 9.6", false},
            {"a new 9, b new 9.9, b gone", false},
        };
    }

    @Test(dataProvider = "expectedRequests")
    public void expectsRequestOnlyFromConnectionsWithRecentProgress(
            String updates, boolean expects) {
        assertEquals(limitAfter(updates).expectsRequest(NOW), expects);
    }

    @Test
    public void evictsSoonerAfterTheLimitWasLowered() {
        ConnectionLimit<String> limit = limitAfter("a idle_client 1, b in_flight 1");
        assertEquals(limit.connectionToEvict(NOW, name -> false).orElse(""), "");
        limit.limit(2);
        assertEquals(limit.connectionToEvict(NOW, name -> false).orElse(""), "a");
    }
}
