package wheelroute.kit.process;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses of the loopback interface, which all processes and stubs of a run use. */
public final class Loopback {
    private Loopback() {}

    /** Returns a port of the loopback interface; 0 lets the system choose one when it is bound. */
    public static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Returns an address to listen on for which the system chooses the port. */
    public static InetSocketAddress anyPort() {
        return address(0);
    }
}
