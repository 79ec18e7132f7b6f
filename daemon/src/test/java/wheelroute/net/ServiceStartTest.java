package wheelroute.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static wheelroute.net.HttpMessages.endpointList;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import wheelroute.config.Config;
import wheelroute.config.ConfigException;
import wheelroute.decision.PolicyHarness;
import wheelroute.net.lifecycle.Service;

/** A failed start names the configuration key in its message and leaves nothing open. */
public class ServiceStartTest extends ServiceHarness {
    @DataProvider
    public Object[][] invalidConfigurations() {
        return new Object[][] {
            {"nonsense", "known"}, {"{\"version\":1}", "known"}, {endpointList(), "listen"}
        };
    }

    @Test(dataProvider = "invalidConfigurations", timeOut = TIMEOUT_MILLIS)
    public void namesConfigurationKeyThatPreventsStart(String cachedEndpoints, String key)
            throws Exception {
        Config config =
                new Config(
                        "n0",
                        discovery.listen(),
                        discovery.listen(),
                        null,
                        null,
                        64,
                        Double.NaN,
                        cachedEndpoints.getBytes(StandardCharsets.UTF_8),
                        new PolicyHarness.SettingsFixture().settings(),
                        0.5,
                        10,
                        2,
                        false,
                        null);
        String message =
                expectThrows(ConfigException.class, () -> new Service(config).start()).getMessage();
        assertTrue(message.contains("'" + key + "'"), message);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void namesAdminKeyWhenItsAddressIsInUse() throws Exception {
        InetSocketAddress taken = discovery.listen();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Config config =
                new Config(
                        "n0",
                        any,
                        taken,
                        taken,
                        null,
                        1024,
                        Double.NaN,
                        null,
                        new PolicyHarness.SettingsFixture().settings(),
                        0.5,
                        10,
                        2,
                        false,
                        null);
        String message =
                expectThrows(ConfigException.class, () -> new Service(config).start()).getMessage();
        assertTrue(message.contains("'admin'"), message);
    }

    @Test(timeOut = TIMEOUT_MILLIS)
    public void closesAdminSocketWhenStartFails() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket taken = new ServerSocket(0, 1, loopback)) {
            int adminPort;
            try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
                adminPort = free.getLocalPort();
            }
            Config config =
                    new Config(
                            "n0",
                            (InetSocketAddress) taken.getLocalSocketAddress(),
                            discovery.listen(),
                            new InetSocketAddress(loopback, adminPort),
                            null,
                            64,
                            Double.NaN,
                            endpointList().getBytes(UTF_8),
                            new PolicyHarness.SettingsFixture().settings(),
                            0.5,
                            10,
                            maxTimeoutSeconds,
                            endpointsArePushed,
                            null);
            Service failing = new Service(config);
            ConfigException exception = expectThrows(ConfigException.class, failing::start);
            assertTrue(exception.getMessage().contains("listen"), exception.getMessage());
            new ServerSocket(adminPort, 1, loopback).close();
        }
    }
}
