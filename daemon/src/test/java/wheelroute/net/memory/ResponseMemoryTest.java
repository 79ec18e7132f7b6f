package wheelroute.net.memory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class ResponseMemoryTest {
    private static final int LINE = ResponseMemory.MAX_LINE_BYTES;

    private final List<String> granted = new ArrayList<>();

    private ResponseMemory.Reservation reserve(ResponseMemory memory, String name) {
        return memory.reserveLine(() -> granted.add(name));
    }

    /** Guards against incomplete lines that hold all memory and wait for each other. */
    @Test
    public void grantsWholeLinesInOrderAsMemoryIsReleased() {
        granted.clear();
        ResponseMemory memory = new ResponseMemory(2 * LINE + LINE / 2);
        ResponseMemory.Reservation first = reserve(memory, "first");
        ResponseMemory.Reservation second = reserve(memory, "second");
        ResponseMemory.Reservation third = reserve(memory, "third");
        ResponseMemory.Reservation fourth = reserve(memory, "fourth");
        assertTrue(first.isGranted() && second.isGranted());
        assertFalse(third.isGranted() || fourth.isGranted());
        second.release();
        assertEquals(granted, List.of("third"));
        assertTrue(third.isGranted());
        first.release();
        assertEquals(granted, List.of("third", "fourth"));
    }

    @Test
    public void forgetsReservationThatIsReleasedBeforeItIsGranted() {
        granted.clear();
        ResponseMemory memory = new ResponseMemory(LINE);
        ResponseMemory.Reservation first = reserve(memory, "first");
        ResponseMemory.Reservation second = reserve(memory, "second");
        reserve(memory, "third");
        second.release();
        first.release();
        assertEquals(granted, List.of("third"));
    }

    @Test
    public void grantsNoLineWhileUnreadResponsesTakeTheMemory() {
        granted.clear();
        ResponseMemory memory = new ResponseMemory(LINE);
        memory.reserveBytes(1);
        assertFalse(reserve(memory, "line").isGranted());
        memory.releaseBytes(1);
        assertEquals(granted, List.of("line"));
    }

    @Test
    public void alwaysGrantsOneLineHoweverSmallTheHeapIs() {
        granted.clear();
        assertTrue(reserve(new ResponseMemory(0), "line").isGranted());
    }
}
