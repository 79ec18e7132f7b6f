package wheelroute.peers;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Checks literal numbers of some seeds, since simulations depend on them to be repeatable. */
public class DeterministicRandomTest {
    private static final double RANGE = 1L << 32;

    /**
     * Each number is the CRC-32 of the alternating bytes of seed and counter, lowest byte first.
     */
    @Test
    public void drawsDependOnlyOnSeedAndCounter() {
        DeterministicRandom random = new DeterministicRandom(42);
        assertEquals(random.next(), 0xb6cc51ecL / RANGE);
        assertEquals(random.next(), 0xa7b13b95L / RANGE);
        assertEquals(random.next(), 0x1e4ae07dL / RANGE);
        assertEquals(random.nextIndex(100), (int) (0x854bef67L / RANGE * 100));
        assertEquals(new DeterministicRandom(-1).next(), 0x3f49b1e3L / RANGE);
    }

    @Test
    public void shuffleDrawsOnceForEachElementButTheFirst() {
        DeterministicRandom random = new DeterministicRandom(42);
        List<Integer> list = List.of(0, 1, 2);
        List<Integer> shuffled = random.shuffled(list);
        // 0xb6cc51ec scaled to 3 is index 2, and 0xa7b13b95 scaled to 2 is index 1, so each element
        // is swapped with itself.
        assertEquals(shuffled, List.of(0, 1, 2));
        assertEquals(random.next(), 0x1e4ae07dL / RANGE);
        assertEquals(random.shuffled(new ArrayList<>(List.of(7))), List.of(7));
        assertEquals(list, List.of(0, 1, 2));
    }
}
