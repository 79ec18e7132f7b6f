package wheelroute.net.handover;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.testng.annotations.Test;
import wheelroute.WireFixture;
import wheelroute.decision.Ids;
import wheelroute.decision.LearnedState;

/**
 * Guards the bytes of handover messages, which must not change because processes of different
 * releases hand over to each other.
 */
public class HandoverWireFormatTest {
    private static final double[] SAMPLES = {0.5, 2, 3, 0.25, 1, 1};
    private static final double[] NO_SAMPLES = {};

    @Test
    public void writesEachMessageAsRecorded() {
        StringBuilder written = new StringBuilder();
        for (MessageType type : MessageType.values()) {
            if (type != MessageType.UNKNOWN) {
                written.append(new HandoverMessage(type, "").encode());
                written.append(new HandoverMessage(type, "one two").encode());
            }
        }
        assertEquals(written.toString(), WireFixture.read("handover-messages.txt"));
    }

    @Test
    public void readsEachRecordedMessage() {
        StringBuilder reencoded = new StringBuilder();
        for (String line : WireFixture.read("handover-messages.txt").split("\n")) {
            HandoverMessage message = HandoverMessage.decode(line);
            assertEquals(message.body(), line.contains(" ") ? "one two" : "");
            reencoded.append(message.encode());
        }
        assertEquals(reencoded.toString(), WireFixture.read("handover-messages.txt"));
    }

    @Test
    public void decodesUnknownMessage() {
        assertEquals(HandoverMessage.decode("later 1").type(), MessageType.UNKNOWN);
    }

    @Test
    public void writesLearnedStateAsRecorded() {
        Map<Ids.Worker, LearnedState.WorkerSamples> workers = new LinkedHashMap<>();
        workers.put(
                new Ids.Worker(1), new LearnedState.WorkerSamples(SAMPLES, NO_SAMPLES, SAMPLES));
        workers.put(new Ids.Worker(2), new LearnedState.WorkerSamples(SAMPLES, SAMPLES, SAMPLES));
        LearnedState learned =
                new LearnedState(
                        workers,
                        Map.of(
                                new Ids.Model("m \"2\""),
                                new LearnedState.ModelSamples(3, SAMPLES, SAMPLES)),
                        Map.of(new Ids.RequestClass("job"), SAMPLES));
        String written =
                LearnedStateCodec.encode(learned, worker -> worker.value() == 1 ? "one" : null);
        assertEquals(written, WireFixture.read("learned-state.json"));
    }

    @Test
    public void readsRecordedLearnedState() throws IOException {
        byte[] recorded = WireFixture.read("learned-state.json").getBytes(StandardCharsets.UTF_8);
        LearnedState learned = LearnedStateCodec.decode(recorded, name -> new Ids.Worker(1));
        assertEquals(learned.workers().get(new Ids.Worker(1)).runs(), SAMPLES);
        assertEquals(learned.workers().get(new Ids.Worker(1)).waits(), NO_SAMPLES);
        assertEquals(learned.models().get(new Ids.Model("m \"2\"")).slots(), 3);
        assertEquals(learned.estimates().get(new Ids.RequestClass("job")), SAMPLES);
    }
}
