package wheelroute;

import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Sends this process the signal that would end it by default. */
public class ReloadSignalTest {
    @Test(timeOut = 20_000)
    public void handlesEverySignal() throws Exception {
        for (int i = 0; i < 2; i++) {
            CountDownLatch handled = new CountDownLatch(1);
            ReloadSignal.onSignal(handled::countDown);
            String self = Long.toString(ProcessHandle.current().pid());
            new ProcessBuilder("kill", "-HUP", self).start().waitFor();
            handled.await();
        }
    }
}
