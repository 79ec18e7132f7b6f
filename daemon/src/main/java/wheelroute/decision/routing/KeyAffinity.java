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
 * Where what the requests of a key need is likely cached: at the workers that rendezvous hashing
 * prefers for the key, which every dispatcher computes alike from key and endpoint, and where this
 * dispatcher sent the key lately. It measures only; what a miss costs is weighed by the policy.
 *
 * @param <W> a worker, as its user knows it
 */
public final class KeyAffinity<W> {
    /** Keys remembered: enough for those that come often, and bounded where all differ. */
    private static final int MAX_KEYS = 1024;

    /** Workers preferred for a key: the first, and those to turn to when it is busy. */
    public static final int PREFERRED_COUNT = 3;

    /** In place of a rank: no miss is expected, as there is no key, or it went there lately. */
    public static final int CACHED = -1;

    /** A key is taken to stay cached until the worker has had this many later attempts of ours. */
    private static final int CACHED_ATTEMPTS = 8;

    /** A worker listed with no weight is preferred for some keys all the same. */
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

    /** Creates the placements of keys among workers, whose endpoints the function returns. */
    public KeyAffinity(Function<W, Endpoint> listings) {
        this.endpoints = listings;
    }

    /** The workers that can be preferred from now on. */
    public void setFleet(List<W> workers) {
        fleet = new ArrayList<>(workers);
        fleetVersion++;
    }

    /** Returns the placement of a key; the least recently used key is forgotten. */
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

        /** The preferred workers of a model, or of all for null, the likeliest first. */
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
                    // A draw above 0 and under 1: the top bits, and a half of their last.
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
         * Calls the action on the workers that the key went to lately, and forgets the others.
         *
         * @param attemptCount how many attempts a worker has had by now
         */
        public void forEachRecent(ToIntFunction<W> attemptCount, Consumer<W> action) {
            for (Iterator<Map.Entry<W, Integer>> iterator = attemptsAtSend.entrySet().iterator();
                    iterator.hasNext(); ) {
                Map.Entry<W, Integer> entry = iterator.next();
                if (attemptCount.applyAsInt(entry.getKey()) - entry.getValue() < CACHED_ATTEMPTS) {
                    action.accept(entry.getKey());
                } else {
                    iterator.remove();
                }
            }
        }
    }

    /** The finalizer of a 64-bit hash: similar keys and ids must not share their workers. */
    private static long mix(long x) {
        long a = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
        long b = (a ^ a >>> 33) * 0xc4ceb9fe1a85ec53L;
        return b ^ b >>> 33;
    }
}
