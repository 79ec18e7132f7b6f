package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Ids;

/** Ids say themselves what makes them equal: by their value, and never across kinds. */
public class IdsTest {
    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {
            {new Ids.Request(1L << 40), new Ids.Request(1L << 40), new Ids.Request(1)},
            {new Ids.Worker(3), new Ids.Worker(3), new Ids.Worker(4)},
            {new Ids.Cell(3), new Ids.Cell(3), new Ids.Cell(4)},
            {
                new Ids.RequestClass("a"),
                new Ids.RequestClass(new String("a")),
                new Ids.RequestClass("b")
            },
            {new Ids.Tenant("a"), new Ids.Tenant(new String("a")), new Ids.Tenant("b")},
            {new Ids.Zone("a"), new Ids.Zone(new String("a")), new Ids.Zone("b")},
            {new Ids.Model("a"), new Ids.Model(new String("a")), new Ids.Model("b")},
        };
    }

    @Test(dataProvider = "kinds")
    public void areEqualByValueWithinTheirKind(Object id, Object same, Object other) {
        assertEquals(id, same);
        assertEquals(id.hashCode(), same.hashCode());
        assertNotEquals(id, other);
        for (Object[] row : kinds()) {
            assertEquals(
                    id.equals(row[0]), id.getClass() == row[0].getClass(), id + " and " + row[0]);
        }
    }
}
