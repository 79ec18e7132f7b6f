package wheelroute.net.clients;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.decision.PolicyHarness;

public class ClientResponseTest {
    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {
                ClientResponse.succeeded("ok".getBytes(StandardCharsets.UTF_8)),
                false,
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            },
            {
                ClientResponse.rejected(0.0401),
                true,
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.041\r\n"
                        + "Connection: close\r\nContent-Length: 25\r\n\r\nbounced: a retry is safe\n"
            },
            {
                ClientResponse.rejected(0),
                false,
                "HTTP/1.1 503 Service Unavailable\r\n"
                        + "Content-Length: 25\r\n\r\nbounced: a retry is safe\n"
            },
            {
                ClientResponse.failed(),
                false,
                "HTTP/1.1 502 Bad Gateway\r\n"
                        + "Content-Length: 26\r\n\r\nscrapped: it may have run\n"
            },
        };
    }

    @Test(dataProvider = "responses")
    public void encodesResponse(ClientResponse response, boolean isLast, String expected) {
        assertEquals(PolicyHarness.text(response.encode(isLast)), expected);
    }
}
