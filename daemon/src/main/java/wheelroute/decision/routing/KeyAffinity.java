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
 * Estimates at which workers the data of a key is cached: at those that rendezvous hashing prefers
 * for the key, which every dispatcher computes alike from key and endpoint, and at those to which
 * this dispatcher sent the key recently. What a miss costs is decided elsewhere.
 *
 * @param <W> the caller's type of a worker
 */
public final class KeyAffinity<W> {
    /** Bounds the memory used where every request has another key. */
    private static final int MAX_KEYS = 1024;

    /** Workers preferred for a key: the first, and others for when that is busy. */
    public static final int PREFERRED_COUNT = 3;

    /**
     * In place of a rank: no miss is expected, as there is no key, or it was sent there recently.
     */
    public static final int CACHED = -1;

    /** A key counts as evicted once this dispatcher has sent the worker so many more attempts. */
    private static final int CACHED_ATTEMPTS = 8;

    /**
     * Weights below this count as this, so that a worker without weight is still preferred for some
     * keys.
     */
    private static final double MIN_WEIGHT = 0.01;

    private final Function<W, Endpoint> endpoints;
    private final Map<Ids.Key, Placement> placements =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Ids.Key, Placement> eldest) {
                    return size() > MAX_KEYS;
                }
            };
    private List<W> fleet = List.of();
    private int fleetVersion;

    /**
     * Creates the affinities of keys to workers.
     *
     * @param endpoints returns the endpoint of a worker
     */
    public KeyAffinity(Function<W, Endpoint> endpoints) {
        this.endpoints = endpoints;
    }

    /** Sets the workers that can be preferred from now on. */
    public void setFleet(List<W> workers) {
        fleet = new ArrayList<>(workers);
        fleetVersion++;
    }

    /** Returns the placement of a key; the least recently used key is evicted. */
    public Placement forKey(Ids.Key key) {
        return placements.computeIfAbsent(key, Placement::new);
    }

    /** The workers of one key. */
    public final class Placement {
        private final long hash;
        private final Map<Ids.Model, List<W>> preferredByModel = new HashMap<>();
        private final Map<W, Integer> attemptsAtSend = new LinkedHashMap<>();
        private int rankedVersion;

        private Placement(Ids.Key key) {
            hash = mix(key.name().hashCode());
        }

        /** Returns the preferred workers of a model, or of all for null, the likeliest first. */
        public List<W> preferred(Ids.Model model) {
            if (rankedVersion != fleetVersion) {
                rankedVersion = fleetVersion;
                preferredByModel.clear();
                attemptsAtSend.keySet().retainAll(fleet);
            }
            return preferredByModel.computeIfAbsent(model, this::rank);
        }

        /**
         * Weighted rendezvous hashing: the heavier a worker the more keys prefer it, and one that
         * comes or goes moves only its own keys.
         */
        private List<W> rank(Ids.Model model) {
            List<W> nearest = new ArrayList<>(PREFERRED_COUNT + 1);
            double[] distances = new double[PREFERRED_COUNT + 1];
            for (W worker : fleet) {
                Endpoint endpoint = endpoints.apply(worker);
                if (model == null || model.equals(endpoint.model())) {
                    // The top 53 bits plus a half, so that the draw is above 0 and below 1.
                    double draw = ((mix(hash ^ endpoint.worker().value()) >>> 11) + 0.5) * 0x1p-53;
                    double distance = -Math.log(draw) / Math.max(MIN_WEIGHT, endpoint.weight());
                    int position = nearest.size();
                    for (; position > 0 && distances[position - 1] > distance; position--) {
                        distances[position] = distances[position - 1];
                    }
                    distances[position] = distance;
                    nearest.add(position, worker);
                    if (nearest.size() > PREFERRED_COUNT) {
                        nearest.remove(PREFERRED_COUNT);
                    }
                }
            }
            return nearest;
        }

        void recordAttempt(W worker, int attemptCount) {
            attemptsAtSend.put(worker, attemptCount);
        }

        /**
         * Calls the action on the workers that the key was sent to recently, and forgets the
         * others.
         *
         * @param attemptCount returns how many attempts a worker was sent so far
         */
        public void forEachRecent(ToIntFunction<W> attemptCount, Consumer<W> action) {
            for (Iterator<Map.Entry<W, Integer>> iterator = attemptsAtSend.entrySet().iterator();
                    iterator.hasNext(); ) {
                Map.Entry<W, Integer> sent = iterator.next();
                if (attemptCount.applyAsInt(sent.getKey()) - sent.getValue() < CACHED_ATTEMPTS) {
                    action.accept(sent.getKey());
                } else {
                    iterator.remove();
                }
            }
        }
    }

    /** The finalizer of a 64-bit hash, so that similar keys and ids do not share their workers. */
    private static long mix(long x) {
        long a = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
        long b = (a ^ a >>> 33) * 0xc4ceb9fe1a85ec53L;
        return b ^ b >>> 33;
    }
}
