package wheelroute;

/** What a test's stub does on a thread of its own, until its peer closes or the test ends. */
public interface BackgroundTask {
    /** Runs until it fails: with its sockets closed it does. */
    void run() throws Exception;

    /** Starts a daemon thread. */
    static void start(BackgroundTask life) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                life.run();
                            } catch (Exception e) {
                                // Its peer has closed, or the test has ended.
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
