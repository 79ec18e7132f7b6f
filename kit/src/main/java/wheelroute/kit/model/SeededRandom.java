package wheelroute.kit.model;

import java.util.SplittableRandom;

/**
 * Random numbers that depend only on the seed, the purpose and two indices, and not on earlier
 * draws. Runs on both clocks, and of different builds, therefore draw the same numbers.
 */
public final class SeededRandom {
    /** What is drawn. Ordinals are part of the seed's meaning: new constants go to the end. */
    public enum Purpose {
        ARRIVAL,
        REQUEST_CLASS,
        TENANT,
        WORK,
        COST_ESTIMATE,
        RETRY,
        CANCELLATION,
        DISPATCHER,
        FAILURE,
        NETWORK,
        FAULT,
        STRATEGY,
        SCHEDULE,
        LINK,
        CONNECTION_FLOOD,
        CLIENT
    }

    /** Constants of splitmix64, by which keys that differ in one bit get unrelated seeds. */
    private static final long GOLDEN = 0x9e3779b97f4a7c15L;

    private static final long MIX = 0xbf58476d1ce4e5b9L;

    private final long seed;

    /** Creates the random numbers of a seed. */
    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns a generator for this purpose and these indices. */
    public SplittableRandom generator(Purpose what, long a, long b) {
        return new SplittableRandom(seedOf(what, a, b));
    }

    /** Returns a draw from 0 (inclusive) to 1 (exclusive), cheaper than a generator. */
    public double uniform(Purpose what, long a, long b) {
        return (mix(seedOf(what, a, b)) >>> 11) * 0x1.0p-53;
    }

    /** Returns a seed for this purpose and these indices. */
    public long seedOf(Purpose what, long a, long b) {
        return mix(mix(mix(seed + GOLDEN * (what.ordinal() + 1)) + a) + GOLDEN * b);
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * MIX;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Returns a lognormal draw of mean 1; the shape is the standard deviation of its logarithm. */
    public static double lognormal(SplittableRandom random, double shape) {
        if (shape == 0) {
            return 1;
        }
        double u = 1 - random.nextDouble();
        double normal = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextDouble());
        return Math.exp(shape * normal - shape * shape / 2);
    }
}
