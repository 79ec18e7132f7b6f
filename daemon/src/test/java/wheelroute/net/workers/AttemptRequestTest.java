package wheelroute.net.workers;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import wheelroute.decision.PolicyHarness;

public class AttemptRequestTest {
    @Test
    public void encodesFieldsThatTheClientSent() {
        AttemptRequest request =
                new AttemptRequest(
                        "POST", "/a%20b?q", "9b", null, "7f", new byte[] {'h', 'i'}, false);
        assertEquals(
                PolicyHarness.text(request.encode("127.0.0.1:80", 0.4567)),
                "POST /a%20b?q HTTP/1.1\r\nHost: 127.0.0.1:80\r\nX-Request-ID: 9b\r\nX-Route-Key: 7f\r\n"
                        + "X-Timeout: 0.457\r\nContent-Length: 2\r\n\r\nhi");
    }
}
