package wheelroute.net.loop;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.testng.annotations.Test;

/** One connection's reads, beside the others that wait for theirs. */
public class StreamConnectionTest {
    /** Guards against one sender at full speed that keeps the thread from all others. */
    @Test
    public void leavesTheOthersTheirTurns() {
        int[] reads = new int[1];
        ByteArrayEndPoint endless =
                new ByteArrayEndPoint() {
                    @Override
                    public int fill(ByteBuffer buffer) {
                        reads[0]++;
                        return 1;
                    }
                };
        StreamConnection link =
                new StreamConnection(endless, new EventLoop(new Clock(), 1)) {
                    @Override
                    protected void onBytes(ByteBuffer in) {
                        if (reads[0] > 100) {
                            throw new IllegalStateException("it never ends");
                        }
                    }

                    @Override
                    protected void onEndOfStream() {
                        // Such a sender has none.
                    }

                    @Override
                    protected void onFailure(Throwable cause) {
                        reads[0] = -1;
                    }
                };
        endless.setConnection(link);
        link.onFillable();
        assertEquals(reads[0], 4);
        assertEquals(link.isFillInterested(), true);
    }
}
