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
            {"a unknown 1, b unknown 1, c unknown 1", "", ""},
            {"a held 1, b held 1, c held 1, d held 1", "", ""},
            {"a held 1, b leaving 9.99, c unknown 1, d visitor 1", "", "b"},
            {"a held 1, b begun 1, c unknown 1, d visitor 9.99", "", "d"},
            {"a held 1, b begun 1, c unknown 9.5, d known 1", "", "c"},
            {"a held 1, c begun 1, b begun 2, d known 1", "", "c"},
            {"a held 1, b begun 1, c begun 2, b begun 3, d known 3", "", "c"},
            {"a held 1, b begun 9.9, c unknown 9.9, d known 1", "", "d"},
            {"a begun 9.9, b begun 9.9, c unknown 9.9, d known 1", "", ""},
            {"a unknown 1, b unknown 2, c held 1, d held 1", "a", "b"},
            {"a unknown 1, b begun 2, c held 1, d known 1", "a b", "d"},
            {"a unknown 1, b unknown 2, c unknown 3, d known 1", "a b c", ""},
            {"a known 5, b known 4, c held 1, d held 1", "", "a"},
            {"a known 1, a held 2, a known 3, b known 2, c held 1, d held 1", "", "a"},
            {"a known 1, b known 2, a held 3, a known 4, c held 1, d held 1", "", "b"},
            {"a unknown 1, b unknown 1, c unknown 1, d unknown 1, a gone", "", ""},
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
        ConnectionLimit<String> places = places("a unknown 1, b unknown 2, c unknown 3, d held 1");
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
            {"a known 1, b held 1, c leaving 9.99, d visitor 9.99", false},
            {"a begun 1", false},
            {"a begun 9.1", true},
            {"a begun 1, a begun 9.5", true},
            {"a unknown 9", false},
            {"a unknown 9.9", true},
            {"a begun 9.5, a held 9.6", false},
            {"a unknown 9, b unknown 9.9, b gone", false},
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
        ConnectionLimit<String> places = places("a known 1, b held 1");
        assertEquals(places.connectionToEvict(NOW, name -> false).orElse(""), "");
        places.limit(2);
        assertEquals(places.connectionToEvict(NOW, name -> false).orElse(""), "a");
    }
}
