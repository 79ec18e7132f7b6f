package wheelroute.kit.process;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses of the loopback interface, which all processes and stubs of a run use. */
public final class Loopback {
    private Loopback() {}

    /**
     * Returns the loopback address with a port.
     *
     * @param port 0 lets the system choose a port when the address is bound
     */
    public static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Returns a loopback address to listen on whose port the system chooses. */
    public static InetSocketAddress anyPort() {
        return address(0);
    }
}
