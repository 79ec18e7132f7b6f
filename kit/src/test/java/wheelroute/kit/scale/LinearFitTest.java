package wheelroute.kit.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class LinearFitTest {
    private static final double TOLERANCE = 1e-9;

    @Test
    public void exactLineHasNoError() {
        LinearFit fit = line(3, 0.5, 0, 1, 10, 20, 30, 40);
        assertEquals(fit.intercept(), 3, TOLERANCE);
        assertEquals(fit.slope(), 0.5, TOLERANCE);
        assertEquals(fit.valueAt(1000), 503, TOLERANCE);
        assertEquals(fit.errorAt(1000), 0, TOLERANCE);
        assertEquals(fit.maxX(), 40, TOLERANCE);
    }

    /**
     * Far outside the measured sizes, the true value must be within two standard errors in about 19
     * of 20 cases.
     */
    @Test
    public void errorCoversTrueValueFarFromPoints() {
        int within = 0;
        int fits = 1000;
        for (int seed = 0; seed < fits; seed++) {
            LinearFit fit = line(3, 0.5, 2, seed, 10, 20, 30, 40, 50, 60, 70, 80, 90, 100);
            within += Math.abs(fit.valueAt(1000) - 503) <= 2 * fit.errorAt(1000) ? 1 : 0;
        }
        assertTrue(
                within >= 0.90 * fits && within <= 0.98 * fits,
                within + " of " + fits + " fits are within two standard errors");
    }

    @Test
    public void rejectsThreePoints() {
        String message =
                expectThrows(IllegalArgumentException.class, () -> line(3, 0.5, 0, 1, 10, 20, 30))
                        .getMessage();
        assertTrue(message.contains("3 points, a fit needs at least 4"), message);
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
