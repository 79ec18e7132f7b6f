package wheelroute.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Where what a key's jobs need is likely kept: at the homes that every dispatcher reckons alike
 * from key and worker, so that none of them needs another's word, and where this one sent the key
 * lately. It measures; what a fetch is worth is weighed by the policy.
 *
 * @param <W> a worker, as its user knows it
 */
final class KeyAffinity<W> {
    /** Keys remembered: enough for those that come often, and bounded where all differ. */
    private static final int MAX_KEYS = 1024;

    /**
     * So many workers are a key's homes: the first, and those to which the others turn when it is
     * busy.
     */
    static final int PREFERRED_COUNT = 3;

    /**
     * In place of a home's rank: no fetch is expected, as there is no key, or it went there lately.
     */
    static final int CACHED = -1;

    /** What a key needs is taken to be kept until so many later launches of ours went there. */
    private static final int CACHED_ATTEMPTS = 8;

    /** Guards against a worker that is listed without a size, which could be home to nothing. */
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

    KeyAffinity(Function<W, Endpoint> listings) {
        this.endpoints = listings;
    }

    /** Who can be a home from now on. */
    void setFleet(List<W> workers) {
        fleet = new ArrayList<>(workers);
        fleetVersion++;
    }

    Placement forKey(Ids.Key key) {
        return placements.computeIfAbsent(key, Placement::new);
    }

    /** One key's homes. */
    final class Placement {
        private final long hash;
        private final Map<Ids.Model, List<W>> preferredByModel = new HashMap<>();
        private final Map<W, Integer> attemptsAtSend = new LinkedHashMap<>();
        private int rankedVersion;

        private Placement(Ids.Key key) {
            hash = mix(key.name().hashCode());
        }

        /** The first homes among a model's workers, or all for null; the likeliest first. */
        List<W> preferred(Ids.Model model) {
            if (rankedVersion != fleetVersion) {
                rankedVersion = fleetVersion;
                preferredByModel.clear();
                attemptsAtSend.keySet().retainAll(fleet);
            }
            return preferredByModel.computeIfAbsent(model, this::rank);
        }

        /**
         * The larger a worker the more keys it is home to; one that comes or goes moves only its
         * own.
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
         * Calls on those it went to lately, by how many launches each has had; forgets the others.
         */
        void forEachRecent(ToIntFunction<W> attemptCount, Consumer<W> action) {
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

    /** The finalizer of a 64-bit hash: near keys and ids must not share homes. */
    private static long mix(long x) {
        long a = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
        long b = (a ^ a >>> 33) * 0xc4ceb9fe1a85ec53L;
        return b ^ b >>> 33;
    }
}
