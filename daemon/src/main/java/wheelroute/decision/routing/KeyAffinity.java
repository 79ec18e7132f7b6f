package wheelroute.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import wheelroute.decision.Endpoint;
import wheelroute.decision.Ids;

/**
 * Estimates which workers have the data of a key in their caches. These are the workers that
 * rendezvous hashing prefers for the key, which every dispatcher computes alike from key and
 * endpoint, and the workers to which this dispatcher sent the key recently. Other classes decide
 * what a cache miss costs.
 *
 * @param <W> the caller's type of a worker
 */
public final class KeyAffinity<W> {
    /**
     * The number of keys that are remembered, which bounds the memory used if every request has
     * another key.
     */
    private static final int MAX_KEYS = 1024;

    /** The number of workers preferred for a key. The others are used when the first is busy. */
    public static final int PREFERRED_COUNT = 3;

    /**
     * The rank of a worker at which no cache miss is expected, because the request has no key or
     * its key was sent there recently.
     */
    public static final int CACHED = -1;

    /**
     * The number of further attempts sent by this dispatcher to a worker after which a key counts
     * as evicted there.
     */
    private static final int ATTEMPTS_UNTIL_EVICTION = 8;

    /**
     * The minimum weight of a worker in the hashing, so that a worker without weight is still
     * preferred for some keys.
     */
    private static final double MIN_WEIGHT = 0.01;

    private final Function<W, Endpoint> endpoints;
    private final Map<Ids.Key, CacheLocations> cacheLocations =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Ids.Key, CacheLocations> eldest) {
                    return size() > MAX_KEYS;
                }
            };
    private List<W> fleet = List.of();
    private int fleetVersion;

    /**
     * Creates the key affinities of workers, with an empty fleet.
     *
     * @param endpoints the function from a worker to its endpoint
     */
    public KeyAffinity(Function<W, Endpoint> endpoints) {
        this.endpoints = endpoints;
    }

    /** Sets the workers that can be preferred from now on. */
    public void setFleet(List<W> workers) {
        fleet = new ArrayList<>(workers);
        fleetVersion++;
    }

    /**
     * Returns the cache locations of a key. A new key evicts the least recently used one when there
     * are too many.
     */
    public CacheLocations forKey(Ids.Key key) {
        return cacheLocations.computeIfAbsent(key, CacheLocations::new);
    }

    /** The workers that are expected to have the data of one key. */
    public final class CacheLocations {
        private final long hash;
        private final Map<Ids.Model, List<W>> preferredByModel = new HashMap<>();
        private final Map<W, Integer> attemptCountAtSend = new LinkedHashMap<>();
        private int rankedVersion;

        private CacheLocations(Ids.Key key) {
            hash = mix(key.name().hashCode());
        }

        /**
         * Returns the preferred workers of a model, the most preferred first.
         *
         * @param model the model; null for workers of any model
         */
        public List<W> preferred(Ids.Model model) {
            if (rankedVersion != fleetVersion) {
                rankedVersion = fleetVersion;
                preferredByModel.clear();
                attemptCountAtSend.keySet().retainAll(fleet);
            }
            return preferredByModel.computeIfAbsent(model, this::rank);
        }

        /**
         * Computes the preferred workers by weighted rendezvous hashing. A heavier worker is
         * preferred for more keys, and a worker that is added or removed moves only its own keys.
         */
        private List<W> rank(Ids.Model model) {
            List<W> preferredWorkers = new ArrayList<>(PREFERRED_COUNT + 1);
            double[] scores = new double[PREFERRED_COUNT + 1];
            for (W worker : fleet) {
                Endpoint endpoint = endpoints.apply(worker);
                if (model == null || model.equals(endpoint.model())) {
                    // Adding a half to the top 53 bits keeps the draw above 0 and below 1.
                    double draw = ((mix(hash ^ endpoint.worker().value()) >>> 11) + 0.5) * 0x1p-53;
                    double score = -Math.log(draw) / Math.max(MIN_WEIGHT, endpoint.weight());
                    int position = preferredWorkers.size();
                    for (; position > 0 && scores[position - 1] > score; position--) {
                        scores[position] = scores[position - 1];
                    }
                    scores[position] = score;
                    preferredWorkers.add(position, worker);
                    if (preferredWorkers.size() > PREFERRED_COUNT) {
                        preferredWorkers.remove(PREFERRED_COUNT);
                    }
                }
            }
            return preferredWorkers;
        }

        void recordAttempt(W worker, int attemptCount) {
            attemptCountAtSend.put(worker, attemptCount);
        }

        /**
         * Calls the action for each worker that the key was sent to recently, and removes the other
         * workers.
         *
         * @param attemptCount the function from a worker to the number of attempts sent to the
         *     worker so far
         */
        public void forEachRecent(ToIntFunction<W> attemptCount, Consumer<W> action) {
            for (Iterator<Map.Entry<W, Integer>> iterator =
                            attemptCountAtSend.entrySet().iterator();
                    iterator.hasNext(); ) {
                Map.Entry<W, Integer> sent = iterator.next();
                if (attemptCount.applyAsInt(sent.getKey()) - sent.getValue()
                        < ATTEMPTS_UNTIL_EVICTION) {
                    action.accept(sent.getKey());
                } else {
                    iterator.remove();
                }
            }
        }
    }

    /**
     * Returns the result of the finalizer of a 64-bit hash, which keeps similar keys and ids from
     * sharing their preferred workers.
     */
    private static long mix(long x) {
        long a = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
        long b = (a ^ a >>> 33) * 0xc4ceb9fe1a85ec53L;
        return b ^ b >>> 33;
    }
}
