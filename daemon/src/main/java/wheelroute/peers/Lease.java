package wheelroute.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * One share as its holder has it: until so long after it asked for the words of which it has
 * enough. It counts from before it asked, those who gave their word from after: so whatever lies
 * between, datagrams that come late, twice or never, processes that stand still, clocks that run
 * apart a little, it has stopped before anybody can begin.
 */
public class Lease {
    /** So long a holder may use it, by its own clock. */
    public static final double USED = 3;

    /** Clocks' rates differ by this part at most: a hundred times what clocks of machines do. */
    public static final double RATES = 0.01;

    /**
     * So long whoever gave a word keeps it, by a clock that may run fast beside a holder's that
     * runs slow.
     */
    public static final double PROMISED = USED * (1 + RATES) / (1 - RATES);

    private final int needed;
    private final double used;
    private double until = Double.NEGATIVE_INFINITY;
    private double askedAt;
    private int number;
    private final Set<PeerId> words = new HashSet<>();

    /** So many words are needed. */
    public Lease(int needed) {
        this(needed, USED);
    }

    Lease(int needed, double used) {
        this.needed = needed;
        this.used = used;
    }

    /**
     * A new round is about to be asked, under this number; words for an earlier one count no more.
     */
    public void asks(double now, int newNumber) {
        askedAt = now;
        number = newNumber;
        words.clear();
    }

    /** A word on the round of this number has come. */
    public void granted(double now, int ofNumber, PeerId by) {
        if (ofNumber == number && words.add(by) && words.size() >= needed) {
            until = Math.max(until, countsFrom(now) + used);
        }
    }

    /** When it was asked for, whenever the words came. */
    double countsFrom(double now) {
        return askedAt;
    }

    /** All that it knows, for who compares. */
    String key(double now) {
        return (now < until ? until - now + "/" : "") + number + "/" + (now - askedAt) + words;
    }

    /** For who goes on from here in several ways. */
    void copyTo(Lease other) {
        other.until = until;
        other.askedAt = askedAt;
        other.number = number;
        other.words.addAll(words);
    }

    /** From here on it is not used, whatever words still come. */
    public void stops() {
        until = Double.NEGATIVE_INFINITY;
        number = 0;
        words.clear();
    }

    /**
     * To be asked at each use, with the time at that moment: a process that stood still finds out
     * here.
     */
    public boolean isHeld(double now) {
        return now < until;
    }
}
