package wheelroute;

/**
 * What a stand-in of a test does on a thread of its own, until its peer has gone or the case is
 * over.
 */
public interface ProcessLifetime {
    void run() throws Exception;

    static void start(ProcessLifetime life) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                life.run();
                            } catch (Exception e) {
                                // Its peer has gone, or the case is over.
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
