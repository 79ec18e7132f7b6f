package wheelroute.kit.scale;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line that was fitted to measured points by least squares.
 *
 * @param name key of the series
 * @param xLabel quantity that was varied, with its unit
 * @param yLabel quantity that was measured, with its unit
 * @param points the measured points
 * @param intercept value of the line at x = 0
 * @param interceptError standard error of the intercept
 * @param slopeError standard error of the slope
 * @param residual standard deviation of the points from the line, in the unit of y
 * @param r2 coefficient of determination
 */
public record LinearFit(
        String name,
        String xLabel,
        String yLabel,
        List<Point> points,
        double intercept,
        double slope,
        double interceptError,
        double slopeError,
        double residual,
        double r2) {
    /** Minimum number of points for a fit. */
    public static final int MIN_POINTS = 4;

    /** A measured point. */
    public record Point(double x, double y) {}

    /**
     * Fits a line to points.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_POINTS}
     */
    public static LinearFit of(String name, String xLabel, String yLabel, List<Point> points) {
        if (points.size() < MIN_POINTS) {
            throw new IllegalArgumentException(
                    name + " has " + points.size() + " points, a fit needs at least " + MIN_POINTS);
        }
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.x(), point.y()));
        return new LinearFit(
                name,
                xLabel,
                yLabel,
                List.copyOf(points),
                regression.getIntercept(),
                regression.getSlope(),
                regression.getInterceptStdErr(),
                regression.getSlopeStdErr(),
                Math.sqrt(regression.getMeanSquareError()),
                regression.getRSquare());
    }

    /** Returns the value of the line at x. */
    public double valueAt(double x) {
        return intercept + slope * x;
    }

    /**
     * Returns the standard error of the line's value at x. The error grows with the distance of x
     * from the mean of the measured sizes.
     */
    public double errorAt(double x) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanError = residual / Math.sqrt(points.size());
        return Math.hypot(meanError, slopeError * (x - meanX));
    }

    /** Returns the largest x that was measured. */
    public double maxX() {
        return points.stream().mapToDouble(Point::x).max().orElse(0);
    }
}
