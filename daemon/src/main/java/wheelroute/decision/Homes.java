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
final class Homes<W> {
    /** Keys remembered: enough for those that come often, and bounded where all differ. */
    private static final int MOST_KEYS = 1024;

    /**
     * So many workers are a key's homes: the first, and those to which the others turn when it is
     * busy.
     */
    static final int RANKED = 3;

    /**
     * In place of a home's rank: no fetch is expected, as there is no key, or it went there lately.
     */
    static final int KEPT_HERE = -1;

    /** What a key needs is taken to be kept until so many later launches of ours went there. */
    private static final int KEPT_LAUNCHES = 8;

    /** Guards against a worker that is listed without a size, which could be home to nothing. */
    private static final double LEAST_SIZE = 0.01;

    private final Function<W, Listing> listings;
    private final Map<Ids.Key, OfKey> keys =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Ids.Key, OfKey> eldest) {
                    return size() > MOST_KEYS;
                }
            };
    private List<W> fleet = List.of();
    private int fleets;

    Homes(Function<W, Listing> listings) {
        this.listings = listings;
    }

    /** Who can be a home from now on. */
    void fleet(List<W> now) {
        fleet = new ArrayList<>(now);
        fleets++;
    }

    OfKey of(Ids.Key key) {
        return keys.computeIfAbsent(key, OfKey::new);
    }

    /** One key's homes. */
    final class OfKey {
        private final long hash;
        private final Map<Ids.Model, List<W>> ranked = new HashMap<>();
        private final Map<W, Integer> sent = new LinkedHashMap<>();
        private int rankedAt;

        private OfKey(Ids.Key key) {
            hash = mixed(key.name().hashCode());
        }

        /** The first homes among a model's workers, or all for null; the likeliest first. */
        List<W> ranked(Ids.Model model) {
            if (rankedAt != fleets) {
                rankedAt = fleets;
                ranked.clear();
                sent.keySet().retainAll(fleet);
            }
            return ranked.computeIfAbsent(model, this::rank);
        }

        /**
         * The larger a worker the more keys it is home to; one that comes or goes moves only its
         * own.
         */
        private List<W> rank(Ids.Model model) {
            List<W> first = new ArrayList<>(RANKED + 1);
            double[] far = new double[RANKED + 1];
            for (W w : fleet) {
                Listing listing = listings.apply(w);
                if (model == null || model.equals(listing.model())) {
                    // A draw above 0 and under 1: the top bits, and a half of their last.
                    double draw = ((mixed(hash ^ listing.worker().value()) >>> 11) + 0.5) * 0x1p-53;
                    double distance = -Math.log(draw) / Math.max(LEAST_SIZE, listing.size());
                    int place = first.size();
                    for (; place > 0 && far[place - 1] > distance; place--) {
                        far[place] = far[place - 1];
                    }
                    far[place] = distance;
                    first.add(place, w);
                    if (first.size() > RANKED) {
                        first.remove(RANKED);
                    }
                }
            }
            return first;
        }

        void sentTo(W worker, int launched) {
            sent.put(worker, launched);
        }

        /**
         * Calls on those it went to lately, by how many launches each has had; forgets the others.
         */
        void sent(ToIntFunction<W> launched, Consumer<W> lately) {
            for (Iterator<Map.Entry<W, Integer>> i = sent.entrySet().iterator(); i.hasNext(); ) {
                Map.Entry<W, Integer> entry = i.next();
                if (launched.applyAsInt(entry.getKey()) - entry.getValue() < KEPT_LAUNCHES) {
                    lately.accept(entry.getKey());
                } else {
                    i.remove();
                }
            }
        }
    }

    /** The finalizer of a 64-bit hash: near keys and ids must not share homes. */
    private static long mixed(long x) {
        long a = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
        long b = (a ^ a >>> 33) * 0xc4ceb9fe1a85ec53L;
        return b ^ b >>> 33;
    }
}
