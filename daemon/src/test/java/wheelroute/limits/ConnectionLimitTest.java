package wheelroute.limits;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.limits.ConnectionLimit.Stage;

/**
 * Four places: who makes room for a fifth. Each row tells what came, as "name stage time", in its
 * order.
 */
public class ConnectionLimitTest {
    private static final int MOST = 4;
    private static final double NOW = 10;
    private final Set<String> unread = new HashSet<>();

    private ConnectionLimit<String> places(String came) {
        ConnectionLimit<String> places = new ConnectionLimit<>(MOST);
        unread.clear();
        for (String event : came.split(", ")) {
            String[] words = event.split(" ");
            if (words[1].equals("gone")) {
                places.remove(words[0]);
            } else {
                places.update(
                        words[0],
                        Stage.valueOf(words[1].toUpperCase(java.util.Locale.ROOT)),
                        Double.parseDouble(words[2]));
            }
        }
        return places;
    }

    @DataProvider
    public Object[][] crowds() {
        return new Object[][] {
            // what came, whom something lies unread of, who makes room
            {"a new 1, b new 1, c new 1", "", ""},
            {"a in_flight 1, b in_flight 1, c in_flight 1, d in_flight 1", "", ""},
            {"a in_flight 1, b closing 9.99, c new 1, d idle_visitor 1", "", "b"},
            {"a in_flight 1, b reading 1, c new 1, d idle_visitor 9.99", "", "d"},
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

    @Test(dataProvider = "crowds")
    public void roomIsMadeByWhoHasTheLeastClaim(String came, String unreadOf, String who) {
        ConnectionLimit<String> places = places(came);
        unread.addAll(List.of(unreadOf.split(" ")));
        assertEquals(places.connectionToEvict(NOW, unread::contains).orElse(""), who);
    }

    /**
     * Reading what lies unread may take a connection on to another stage, or end it, amid the
     * choice.
     */
    @Test
    public void whoMovesOnAsItIsReadKeepsItsPlace() {
        ConnectionLimit<String> places = places("a new 1, b new 2, c new 3, d in_flight 1");
        assertEquals(
                places.connectionToEvict(
                                NOW,
                                name -> {
                                    if (name.equals("a")) {
                                        places.update("a", Stage.IN_FLIGHT, NOW);
                                        places.remove("b");
                                    }
                                    return name.equals("a");
                                })
                        .orElse(""),
                "c");
        assertEquals(places.count(), 3);
    }

    @DataProvider
    public Object[][] expecting() {
        return new Object[][] {
            {"a idle_client 1, b in_flight 1, c closing 9.99, d idle_visitor 9.99", false},
            {"a reading 1", false},
            {"a reading 9.1", true},
            {"a reading 1, a reading 9.5", true},
            {"a new 9", false},
            {"a new 9.9", true},
            {"a reading 9.5, a in_flight 9.6", false},
            {"a new 9, b new 9.9, b gone", false},
        };
    }

    /**
     * What a process that ends must wait for: a message under way, not a stranger who says nothing.
     */
    @Test(dataProvider = "expecting")
    public void aMessageUnderWayIsExpected(String came, boolean expects) {
        assertEquals(places(came).expectsRequest(NOW), expects);
    }

    /** Half of the places are another process's from here on: who comes now needs one made. */
    @Test
    public void fewerPlacesAreFullSooner() {
        ConnectionLimit<String> places = places("a idle_client 1, b in_flight 1");
        assertEquals(places.connectionToEvict(NOW, name -> false).orElse(""), "");
        places.limit(2);
        assertEquals(places.connectionToEvict(NOW, name -> false).orElse(""), "a");
    }
}
