package wheelroute;

import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Checks that SIGHUP, which would end the process by default, runs the handler each time. */
public class ReloadSignalTest {
    @Test(timeOut = 20_000)
    public void runsHandlerForEachSignal() throws Exception {
        for (int i = 0; i < 2; i++) {
            CountDownLatch handled = new CountDownLatch(1);
            ReloadSignal.onSignal(handled::countDown);
            String ownPid = Long.toString(ProcessHandle.current().pid());
            new ProcessBuilder("kill", "-HUP", ownPid).start().waitFor();
            handled.await();
        }
    }
}
