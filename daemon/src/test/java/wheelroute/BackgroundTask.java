package wheelroute;

/** A task of a stub on its own thread, which ends when its sockets are closed. */
public interface BackgroundTask {
    /** Runs until a closed socket makes it fail. */
    void run() throws Exception;

    /** Starts a daemon thread. */
    static void start(BackgroundTask task) {
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
    }
}
