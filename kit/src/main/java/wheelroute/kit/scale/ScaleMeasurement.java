package wheelroute.kit.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import wheelroute.kit.process.RehearsalException;

/** Measures what one dimension of a deployment costs; there is one implementation for each. */
interface ScaleMeasurement {
    /** One part of a measurement; it does not depend on other points and records its results. */
    interface Point {
        /** Measures; blocks until it is done. */
        void measure() throws IOException, RehearsalException;
    }

    /** A point that has a size. */
    interface PointAtSize {
        /** Measures at one size; blocks until it is done. */
        void measure(int size) throws IOException, RehearsalException;
    }

    /** Returns the points in the order in which they should begin. */
    List<Point> points();

    /**
     * Returns one point for each size, the largest first: it takes longest, so it must not come
     * last.
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
