package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;

/** A client with one connection to a dispatcher. */
public final class Client implements AutoCloseable {
    private static final int CONNECT_MILLIS = 2000;

    private final Socket socket = new Socket();
    private final InputStream in;

    public Client(int port) throws IOException {
        socket.connect(new InetSocketAddress(Rig.loopback(), port), CONNECT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The text of a request for work. */
    public static String request(String offering, String id, double timeout, String fields, String body) {
        return String.format(
                Locale.ROOT,
                "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Timeout: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
                offering,
                id,
                timeout,
                fields,
                body.length(),
                body);
    }

    public void write(String text) throws IOException {
        socket.getOutputStream().write(Http.ascii(text));
        socket.getOutputStream().flush();
    }

    /** Reads one answer; null if the connection ends before its first byte. */
    public Http.Message read(double seconds) throws IOException {
        socket.setSoTimeout(Math.max(1, (int) (seconds * 1000)));
        return Http.read(in);
    }

    public Http.Message get(String path, double seconds) throws IOException {
        write("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        Http.Message answer = read(seconds);
        if (answer == null) {
            throw new IOException("closed");
        }
        return answer;
    }

    public Socket socket() {
        return socket;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed either way.
        }
    }
}
