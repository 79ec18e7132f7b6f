package wheelroute;

import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** The signal that would end the process, sent to this one. */
public class ReloadSignalTest {
    @Test(timeOut = 20_000)
    public void hearsEverySignal() throws Exception {
        for (int i = 0; i < 2; i++) {
            CountDownLatch heard = new CountDownLatch(1);
            ReloadSignal.onSignal(heard::countDown);
            String self = Long.toString(ProcessHandle.current().pid());
            new ProcessBuilder("kill", "-HUP", self).start().waitFor();
            heard.await();
        }
    }
}
