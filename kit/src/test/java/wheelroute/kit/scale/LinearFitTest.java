package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Lines through points, and what their errors promise. */
public class LinearFitTest {
    private static final double EXACT = 1e-9;

    @Test
    public void anExactLineHasNoError() {
        LinearFit fit = line(3, 0.5, 0, 1, 10, 20, 30, 40);
        assertEquals(fit.intercept(), 3, EXACT);
        assertEquals(fit.slope(), 0.5, EXACT);
        assertEquals(fit.at(1000), 503, EXACT);
        assertEquals(fit.errorAt(1000), 0, EXACT);
        assertEquals(fit.most(), 40, EXACT);
    }

    /**
     * Of a thousand noisy measurements the truth, far outside, lies within two errors about 19
     * times in 20.
     */
    @Test
    public void theErrorHoldsWhereNothingWasMeasured() {
        int within = 0;
        int tries = 1000;
        for (int seed = 0; seed < tries; seed++) {
            LinearFit fit = line(3, 0.5, 2, seed, 10, 20, 30, 40, 50, 60, 70, 80, 90, 100);
            within += Math.abs(fit.at(1000) - 503) <= 2 * fit.errorAt(1000) ? 1 : 0;
        }
        assertTrue(within >= 0.90 * tries && within <= 0.98 * tries, within + " of " + tries);
    }

    @Test
    public void threeSizesAreTooFew() {
        String message =
                expectThrows(IllegalArgumentException.class, () -> line(3, 0.5, 0, 1, 10, 20, 30))
                        .getMessage();
        assertTrue(message.contains("at 3 sizes, not 4"), message);
    }

    static LinearFit line(
            double intercept, double slope, double noise, long seed, double... sizes) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LinearFit.Point> points = new ArrayList<>();
        for (double size : sizes) {
            points.add(
                    new LinearFit.Point(
                            size,
                            intercept + slope * size + noise * (2 * random.nextDouble() - 1)));
        }
        return LinearFit.of("line", "x", "y", points);
    }
}
