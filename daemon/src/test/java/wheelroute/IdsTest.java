package wheelroute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Ids;

/** Tests {@code equals} and {@code hashCode} of the id types, which are written by hand. */
public class IdsTest {
    @DataProvider
    public Object[][] idsOfEachType() {
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

    @Test(dataProvider = "idsOfEachType")
    public void equalOnlyIdsOfSameTypeAndValue(Object id, Object same, Object other) {
        assertEquals(id, same);
        assertEquals(id.hashCode(), same.hashCode());
        assertNotEquals(id, other);
        for (Object[] row : idsOfEachType()) {
            assertEquals(
                    id.equals(row[0]), id.getClass() == row[0].getClass(), id + " and " + row[0]);
        }
    }
}
