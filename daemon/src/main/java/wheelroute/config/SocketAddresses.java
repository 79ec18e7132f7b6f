package wheelroute.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses and formats socket addresses of the form host:port, without name resolution. */
public final class SocketAddresses {
    private static final Pattern IPV4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}");
    private static final Pattern IPV6 = Pattern.compile("\\[?[0-9a-fA-F]*:[0-9a-fA-F:.]+]?");
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Returns the address in the form that {@link #parse} reads. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Parses a text of the form host:port. The host must be an IP address or localhost, because the
     * resolution of any other name would block the event loop.
     *
     * @return null if the text is not such an address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                return null;
            }
            InetAddress host = parseHost(text.substring(0, colon));
            return host == null ? null : new InetSocketAddress(host, port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    private static InetAddress parseHost(String host) throws UnknownHostException {
        if (host.equals("localhost")) {
            return InetAddress.getLoopbackAddress();
        }
        boolean isAddress = IPV4.matcher(host).matches() || IPV6.matcher(host).matches();
        return isAddress ? InetAddress.getByName(host) : null;
    }
}
