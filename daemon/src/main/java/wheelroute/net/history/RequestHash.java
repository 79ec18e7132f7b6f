package wheelroute.net.history;

/**
 * Hashes what identifies a request. The seed keeps clients from choosing keys that collide; it is
 * not a protection against those who know it.
 */
final class RequestHash {
    private static final long INCREMENT = 0x9e3779b97f4a7c15L;
    private static final long FIRST_MULTIPLIER = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_MULTIPLIER = 0x94d049bb133111ebL;

    private RequestHash() {}

    /** Returns the hash of a request class and a key or id within it. */
    static long of(long seed, RequestIdentity identity) {
        long hash = mix(seed ^ identity.requestClass().length());
        hash = append(hash, identity.requestClass());
        return append(hash, identity.key());
    }

    private static long append(long hash, String text) {
        long result = hash;
        for (int i = 0; i < text.length(); i++) {
            result = mix(result ^ text.charAt(i));
        }
        return result;
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long value) {
        long result = value + INCREMENT;
        result = (result ^ (result >>> 30)) * FIRST_MULTIPLIER;
        result = (result ^ (result >>> 27)) * SECOND_MULTIPLIER;
        return result ^ (result >>> 31);
    }
}
