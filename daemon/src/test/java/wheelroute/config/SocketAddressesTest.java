package wheelroute.config;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SocketAddressesTest {
    @DataProvider
    public Object[][] addresses() {
        return new Object[][] {
            {"127.0.0.1:80", "127.0.0.1"},
            {"localhost:80", "127.0.0.1"},
            {"[::1]:80", "0:0:0:0:0:0:0:1"},
            {"10.20.30.255:80", "10.20.30.255"},
            {"256.1.1.1:80", null},
            {"1.2.3:80", null},
            {"some-host:80", null},
            {"discovery.example:80", null},
            {"dead:80", null},
            {":80", null},
            {"127.0.0.1:65536", null},
        };
    }

    /** The timeout fails the test if a name is looked up and its resolver does not answer. */
    @Test(dataProvider = "addresses", timeOut = 5_000)
    public void parsesAddressesWithoutLookingUpNames(String text, String host) {
        InetSocketAddress address = SocketAddresses.parse(text);
        assertEquals(address == null ? null : address.getAddress().getHostAddress(), host);
    }
}
