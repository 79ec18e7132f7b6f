package wheelroute.net.loop;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.testng.annotations.Test;

public class StreamConnectionTest {
    /** A peer that never stops sending must not keep the loop's thread from other connections. */
    @Test
    public void interruptsReadingAfterMaximumNumberOfReads() {
        int[] reads = new int[1];
        ByteArrayEndPoint endPoint =
                new ByteArrayEndPoint() {
                    @Override
                    public int fill(ByteBuffer buffer) {
                        reads[0]++;
                        return 1;
                    }
                };
        StreamConnection connection =
                new StreamConnection(endPoint, new EventLoop(new Clock(), 1)) {
                    @Override
                    protected void onBytes(ByteBuffer in) {
                        if (reads[0] > 100) {
                            throw new IllegalStateException(
                                    "expected reading to be interrupted, got "
                                            + reads[0]
                                            + " consecutive reads");
                        }
                    }

                    @Override
                    protected void onEndOfStream() {
                        // The peer never stops sending.
                    }

                    @Override
                    protected void onFailure(Throwable cause) {
                        reads[0] = -1;
                    }
                };
        endPoint.setConnection(connection);
        connection.onFillable();
        assertEquals(reads[0], 4);
        assertEquals(connection.isFillInterested(), true);
    }
}
