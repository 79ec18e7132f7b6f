package wheelroute.peers;

import java.util.HashMap;
import java.util.Map;

/**
 * What this dispatcher has promised as one of those who are asked about a share: that nobody else
 * gets its word on it before the promise has surely run out for whoever has it.
 */
public class LeaseVoter {
    /** Number: of the round in which it was last asked for. */
    record Promise(PeerId holder, long life, int number, double until) {}

    private final double promised;
    private final Map<Integer, Promise> promises = new HashMap<>();

    /** What this process promised before it was started anew it does not know. */
    private double speaksFrom;

    /** From this process's start on. */
    public LeaseVoter(double now) {
        this(now, Lease.PROMISED, Lease.PROMISED);
    }

    /** With times of its own, for who shows that these matter. */
    LeaseVoter(double now, double promised, double silentFor) {
        this.promised = promised;
        speaksFrom = now + silentFor;
    }

    /** Whether it has this dispatcher's word; another start of one is another holder. */
    public boolean ask(double now, int share, PeerId holder, long life, int number) {
        if (now < speaksFrom) {
            return false;
        }
        Promise last = promises.get(share);
        if (last != null && now < last.until && !isSame(last, holder, life)) {
            return false;
        }
        int newest =
                last != null && isSame(last, holder, life) ? Math.max(last.number, number) : number;
        promises.put(share, new Promise(holder, life, newest, now + promised));
        return true;
    }

    boolean isSame(Promise last, PeerId holder, long life) {
        return last.holder.equals(holder) && last.life == life;
    }

    /** It has stopped using the share, and says so itself; unless it has asked again since. */
    public void back(int share, PeerId holder, long life, int number) {
        promises.computeIfPresent(
                share,
                (n, last) -> isSame(last, holder, life) && isLatest(last, number) ? null : last);
    }

    boolean isLatest(Promise last, int number) {
        return number >= last.number;
    }

    /** All that it knows, for who compares. */
    String key(double now) {
        StringBuilder key = new StringBuilder(now < speaksFrom ? speaksFrom - now + " " : "");
        promises.forEach(
                (share, p) ->
                        key.append(
                                now < p.until
                                        ? share
                                                + p.holder.name()
                                                + p.life
                                                + "/"
                                                + p.number
                                                + "/"
                                                + (p.until - now)
                                        : ""));
        return key.toString();
    }

    /** For who goes on from here in several ways. */
    void copyTo(LeaseVoter other) {
        other.promises.putAll(promises);
        other.speaksFrom = speaksFrom;
    }
}
