package wheelroute.net.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Endpoint;

public class EndpointListTest {
    private static final String ENTRY =
            "{'id':'s-5b','addr':'127.1.0.18:8081','zone':'a','kind':'m2',"
                    + "'cell':3,'state':'ready','weight':1.5,'started_ms':1500,'new':[{}]}";
    private static final String LIST =
            "{'version':41,'full':true,'later':{'a':[1]}," + "'servers':[" + ENTRY + "]}";

    private static EndpointList decode(String json) throws IOException {
        return EndpointList.decode(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void decodesEntry() throws IOException {
        EndpointList list = decode(LIST);
        assertTrue(list.complete());
        assertEquals(list.version(), 41);
        EndpointList.Entry entry = list.entries().get(0);
        assertEquals(entry.id() + entry.zone() + entry.model() + entry.cell(), "s-5bam23");
        assertEquals(entry.address().getPort(), 8081);
        assertEquals(entry.weight(), 1.5);
        assertEquals(entry.startedAt(), 1.5);
    }

    @DataProvider
    public Object[][] states() {
        return new Object[][] {
            {"ready", Endpoint.State.READY}, {"draining", Endpoint.State.DRAINING},
            {"gone", Endpoint.State.REMOVED}, {"unknown", Endpoint.State.DRAINING},
        };
    }

    @Test(dataProvider = "states")
    public void decodesStates(String state, Endpoint.State expected) throws IOException {
        assertEquals(decode(LIST.replace("ready", state)).entries().get(0).state(), expected);
        assertTrue(Double.isNaN(decode(LIST.replace("1500", "0")).entries().get(0).startedAt()));
    }

    @DataProvider
    public Object[][] malformedLists() {
        return new Object[][] {
            {""},
            {"[]"},
            {"{}"},
            {"hello"},
            {LIST.substring(0, 100)},
            {LIST.replace("41", "'new'")},
            {LIST.replace("'version':41,", "")},
            {LIST.replace(ENTRY, "7")},
            {LIST.replace("[" + ENTRY + "]", "{}")},
            {LIST.replace("127.1.0.18:8081", "somewhere")},
            {LIST.replace("'state':'ready',", "")},
            {LIST.replace("'id':'s-5b',", "")},
            {LIST.replace("'cell':3", "'cell':'three'")},
        };
    }

    @Test(dataProvider = "malformedLists")
    public void rejectsMalformedList(String json) {
        assertThrows(IOException.class, () -> decode(json));
    }
}
