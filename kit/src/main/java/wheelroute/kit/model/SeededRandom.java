package wheelroute.kit.model;

import java.util.SplittableRandom;

/**
 * Random numbers that depend only on the seed, the purpose and two indices, and not on earlier
 * draws. Runs on the simulated and the real clock, and runs of different builds, therefore draw the
 * same numbers.
 */
public final class SeededRandom {
    /**
     * What a draw is used for. The ordinals determine the draws of a seed, so new constants must be
     * added at the end.
     */
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

    /**
     * The increment of splitmix64, whose mixing gives unrelated seeds to keys that differ in one
     * bit.
     */
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    /** The first multiplier of the mixing function of splitmix64. */
    private static final long MIX_MULTIPLIER = 0xbf58476d1ce4e5b9L;

    private final long seed;

    /** Creates a source of random numbers; equal seeds give equal numbers. */
    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns a new generator, seeded from the purpose and the indices. */
    public SplittableRandom generator(Purpose purpose, long index1, long index2) {
        return new SplittableRandom(seedOf(purpose, index1, index2));
    }

    /** Returns a draw from 0 (inclusive) to 1 (exclusive), cheaper than a generator. */
    public double uniform(Purpose purpose, long index1, long index2) {
        return (mix(seedOf(purpose, index1, index2)) >>> 11) * 0x1.0p-53;
    }

    /** Returns a seed derived from the purpose and the indices. */
    public long seedOf(Purpose purpose, long index1, long index2) {
        return mix(
                mix(mix(seed + GOLDEN_GAMMA * (purpose.ordinal() + 1)) + index1)
                        + GOLDEN_GAMMA * index2);
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * MIX_MULTIPLIER;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /**
     * Returns a draw from a lognormal distribution of mean 1.
     *
     * @param shape the standard deviation of the logarithm; 0 always gives 1
     */
    public static double lognormal(SplittableRandom random, double shape) {
        if (shape == 0) {
            return 1;
        }
        double u = 1 - random.nextDouble();
        double normal = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextDouble());
        return Math.exp(shape * normal - shape * shape / 2);
    }
}
