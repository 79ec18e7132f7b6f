package wheelroute;

import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collection;

/** A blocking task of a stub, run on a thread of its own until its sockets are closed. */
public interface BackgroundTask {
    /** Runs until a closed socket causes an exception. */
    void run() throws Exception;

    /** What a stub does with one of its connections. */
    interface Connection {
        /** Runs until the connection or an exception ends it. */
        void serve(Socket socket) throws Exception;
    }

    /**
     * Accepts connections until the server is closed, and serves each on a thread of its own. The
     * sockets are added to the resources, which the test closes.
     */
    static void acceptAll(
            ServerSocket server, Collection<AutoCloseable> resources, Connection connection) {
        start(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        resources.add(socket);
                        start(() -> connection.serve(socket));
                    }
                });
    }

    /** Runs the task on a new daemon thread, which an exception ends silently. */
    static Thread start(BackgroundTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The peer has closed its connection, or the test has ended.
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
