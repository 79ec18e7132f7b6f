package wheelroute.kit.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import wheelroute.kit.process.RehearsalException;

/** Measures the costs of one dimension of a deployment; each dimension has an implementation. */
interface ScaleMeasurement {
    /** One part of a measurement, which records its results and is independent of other points. */
    interface Point {
        /** Measures the point and records the results; blocks until that is done. */
        void measure() throws IOException, RehearsalException;
    }

    /** Measures a point whose size is given as a parameter. */
    interface PointAtSize {
        /** Measures at one size and records the results; blocks until that is done. */
        void measure(int size) throws IOException, RehearsalException;
    }

    /** Returns the points in the order in which they should be started. */
    List<Point> points();

    /**
     * Returns one point for each size, the largest first, because the largest takes longest and
     * would prolong the run if it started last.
     */
    static List<Point> largestFirst(List<Integer> sizes, PointAtSize measurement) {
        List<Integer> descending = new ArrayList<>(sizes);
        Collections.reverse(descending);
        List<Point> points = new ArrayList<>();
        for (int size : descending) {
            points.add(() -> measurement.measure(size));
        }
        return points;
    }
}
