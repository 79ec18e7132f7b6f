package wheelroute.kit.scale;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through what was measured, by least squares.
 *
 * @param name what was measured against what
 * @param x what was varied, with its unit
 * @param y what was measured, with its unit
 * @param slopeError the standard error of the slope; so with the intercept's
 * @param residual what the points stand off the line, as a standard deviation, in the unit of y
 */
public record LinearFit(
        String name,
        String x,
        String y,
        List<Point> points,
        double intercept,
        double slope,
        double interceptError,
        double slopeError,
        double residual,
        double r2) {
    /** The least number of sizes that a line is drawn through. */
    public static final int LEAST_POINTS = 4;

    /** One size and what it cost. */
    public record Point(double x, double y) {}

    /**
     * Fits a line through points by least squares.
     *
     * @param x what grows
     * @param y what is measured
     */
    public static LinearFit of(String name, String x, String y, List<Point> points) {
        if (points.size() < LEAST_POINTS) {
            throw new IllegalArgumentException(
                    name + " was measured at " + points.size() + " sizes, not " + LEAST_POINTS);
        }
        SimpleRegression line = new SimpleRegression();
        points.forEach(point -> line.addData(point.x(), point.y()));
        return new LinearFit(
                name,
                x,
                y,
                List.copyOf(points),
                line.getIntercept(),
                line.getSlope(),
                line.getInterceptStdErr(),
                line.getSlopeStdErr(),
                Math.sqrt(line.getMeanSquareError()),
                line.getRSquare());
    }

    /** The line's value at this size. */
    public double at(double size) {
        return intercept + slope * size;
    }

    /** The standard error of the line there: it grows with the way from where it was measured. */
    public double errorAt(double size) {
        double mean = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanError = residual / Math.sqrt(points.size());
        return Math.hypot(meanError, slopeError * (size - mean));
    }

    /** The largest size that was measured. */
    public double most() {
        return points.stream().mapToDouble(Point::x).max().orElse(0);
    }
}
