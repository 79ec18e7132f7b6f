package wheelroute.kit.scale;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import org.testng.annotations.Test;
import wheelroute.kit.process.RehearsalException;

public class ResourceGuardTest {
    @Test
    public void rejectsProcessBeyondHalfOfTheMemory() throws IOException, RehearsalException {
        ResourceGuard guard = new ResourceGuard();
        guard.checkMayStart(1);
        String message =
                expectThrows(
                                RehearsalException.class,
                                () -> guard.checkMayStart(ProcessStats.machineMemoryMb()))
                        .getMessage();
        assertTrue(message.contains("half of the machine's"), message);
    }
}
