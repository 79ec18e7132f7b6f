package wheelroute.net.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;

public class LearnedStateCodecTest {
    private static final double[] SAMPLES = {0.5, 2, 3, 0.25, 1, 1};

    private static LearnedState learned() {
        return new LearnedState(
                Map.of(
                        new Ids.Worker(1),
                        new LearnedState.WorkerSamples(SAMPLES, new double[0], SAMPLES),
                        new Ids.Worker(2),
                        new LearnedState.WorkerSamples(SAMPLES, SAMPLES, SAMPLES)),
                Map.of(
                        new Ids.Model("m \"2\""),
                        new LearnedState.ModelSamples(3, SAMPLES, SAMPLES)),
                Map.of(new Ids.RequestClass("job"), SAMPLES));
    }

    private static LearnedState decode(String text) throws IOException {
        return LearnedStateCodec.decode(
                text.getBytes(StandardCharsets.UTF_8),
                name -> name.equals("one") ? new Ids.Worker(7) : null);
    }

    /** Workers are identified by their names in discovery; workers without a name are omitted. */
    @Test
    public void decodesWhatItEncodes() throws IOException {
        String text =
                LearnedStateCodec.encode(learned(), worker -> worker.value() == 1 ? "one" : null);
        LearnedState read = decode(text);
        assertEquals(read.workers().keySet().toString(), "[Worker[value=7]]");
        assertEquals(read.workers().get(new Ids.Worker(7)).runs(), SAMPLES);
        assertEquals(read.workers().get(new Ids.Worker(7)).waits(), new double[0]);
        assertEquals(read.models().get(new Ids.Model("m \"2\"")).slots(), 3);
        assertEquals(read.models().get(new Ids.Model("m \"2\"")).waits(), SAMPLES);
        assertEquals(read.estimates().get(new Ids.RequestClass("job")), SAMPLES);
        assertEquals(text.indexOf('\n'), -1);
    }

    @DataProvider
    public Object[][] malformedTexts() {
        String worker = "{\"workers\":{\"one\":{\"runs\":[R],\"waits\":[],\"failures\":[]}}}";
        return new Object[][] {
            {""},
            {"[]"},
            {"{\"workers\":["},
            {"{\"workers\":{\"one\":[1]}}"},
            {"{\"workers\":{\"one\":{}}}"},
            {worker.replace("R", "1,2")},
            {worker.replace("R", "1,0,3")},
            {worker.replace("R", "1,2,\"x\"")},
            {worker.replace("R", "1,2,1e999")},
            {worker.replace("R", "1,1,1,".repeat(65) + "1,1,1")},
            {"{\"models\":{\"m\":{\"slots\":-1,\"runs\":[],\"waits\":[]}}}"},
            {"{\"models\":{\"m\":{\"slots\":2000000000,\"runs\":[],\"waits\":[]}}}"},
            {"{\"hints\":{\"job\":[1,2]}}"},
        };
    }

    @Test(dataProvider = "malformedTexts")
    public void rejectsMalformedText(String text) {
        expectThrows(IOException.class, () -> decode(text));
    }
}
