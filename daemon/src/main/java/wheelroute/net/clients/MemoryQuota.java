package wheelroute.net.clients;

/**
 * A bound on the bytes of bodies held at one time: how many clients send them is not ours to
 * choose.
 */
public final class MemoryQuota {
    private final long most;
    private long held;

    public MemoryQuota(long most) {
        this.most = most;
    }

    /** Makes room for so many bytes, or says that there is none. */
    boolean take(int bytes) {
        boolean fits = held + bytes <= most;
        held += fits ? bytes : 0;
        return fits;
    }

    /** For what has come already, whether or not there is room. */
    void hold(int bytes) {
        held += bytes;
    }

    boolean isFull() {
        return held >= most;
    }

    void giveBack(int bytes) {
        held -= bytes;
    }
}
