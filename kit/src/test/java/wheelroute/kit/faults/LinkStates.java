package wheelroute.kit.faults;

/** Link states that tests apply. */
final class LinkStates {
    static final double UNLIMITED = Double.POSITIVE_INFINITY;
    static final LinkState PARTITIONED = carrying(false, false);
    static final LinkState OUTBOUND_ONLY = carrying(true, false);
    static final LinkState INBOUND_ONLY = carrying(false, true);
    static final LinkState REFUSING = new LinkState(true, false, false, 0, 0, 0, UNLIMITED, 0);

    private LinkStates() {}

    private static LinkState carrying(boolean outbound, boolean inbound) {
        return new LinkState(false, outbound, inbound, 0, 0, 0, UNLIMITED, 0);
    }

    static LinkState delayed(double delaySeconds, double jitterSeconds) {
        return new LinkState(false, true, true, delaySeconds, jitterSeconds, 0, UNLIMITED, 0);
    }

    static LinkState losing(double fraction) {
        return new LinkState(false, true, true, 0, 0, fraction, UNLIMITED, 0);
    }

    static LinkState duplicating(double fraction) {
        return new LinkState(false, true, true, 0, 0, 0, UNLIMITED, fraction);
    }
}
