package wheelroute;

/** A blocking task of a stub, run on a thread of its own until its sockets are closed. */
public interface BackgroundTask {
    /** Runs until a closed socket causes an exception. */
    void run() throws Exception;

    /** Runs the task on a new daemon thread; an exception ends the thread silently. */
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
