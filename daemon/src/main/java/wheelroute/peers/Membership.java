package wheelroute.peers;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * Who is there. Each dispatcher probes one other at a time, asks some to probe for it where it
 * hears nothing, and suspects before it gives anyone up, so that the suspected can contradict; what
 * is known is passed on with the probes. This is SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's
 * doubt in oneself (Dadgar, Phillips, Currey, 2017); docs/design/peers.md says what is kept of them
 * and what is changed.
 */
public final class Membership {
    /** What it does, and who hears of it. */
    public interface Transport {
        void send(MemberAddress to, Message message);

        /** To be called after so long, at {@link #woken}; earlier and more often does no harm. */
        void wake(double delay);

        /**
         * Of another dispatcher something new is known; before is null for one that was unknown.
         */
        void changed(MemberUpdate now, MemberUpdate.State before, String why);
    }

    /** One probe each; so every one of n dispatchers is probed once in each of these on average. */
    public static final double ROUND = 0.5;

    /** An answer is there well before this, or somebody else is asked to try. */
    private static final double ANSWER = 0.2;

    /** So many others are asked: one lossy way must not be what a verdict rests on. */
    private static final int ASKED = 3;

    /** Who doubts itself takes up to so many times as long for all this. */
    private static final int MOST_DOUBT = 8;

    /**
     * A suspected one has so many rounds, times the logarithm of how many there are, to contradict.
     */
    private static final double LEAST_SUSPICION = 4;

    /** And so many times that while nobody else has said so of its own accord. */
    private static final double MOST_SUSPICION = 3;

    /** With so many independent words the shortest time is enough. */
    private static final int WORDS = 3;

    /** News is passed on so often, times the logarithm of how many there are. */
    private static final double REPEATS = 4;

    /** A stop of the whole process for longer than this is its own fault, not the others'. */
    private static final double STOPPED = 2 * ROUND;

    /** The dead are kept so long: old words on them must not bring them back. */
    private static final double FORGET = 600;

    /** Lists that differ are compared once all news about them should be through. */
    private static final double COMPARE = 4 * ROUND;

    /** About what two datagrams hold. */
    private static final int MUCH = 16;

    private static final int MOST_KNOWN = 10_000;

    /** Pages asked for in a row without an end: a liar's list has none. */
    private static final int MOST_PAGES = 2 * MOST_KNOWN;

    private final int cluster;
    private final List<MemberAddress> seeds;
    private final Transport outside;
    private final long seed;
    private final boolean doubts;
    private MemberUpdate self;
    private double now;
    private double lastAt = Double.NaN;
    private long draws;
    private int doubt;
    private int lastNumber;
    private boolean running;
    private final Map<PeerId, MemberRecord> known = new TreeMap<>();

    /**
     * All that are there but ourselves; in the order of the round, which is made anew each time.
     */
    private final List<MemberRecord> round = new ArrayList<>();

    private int nextInRound;
    private final Set<MemberRecord> suspects = new LinkedHashSet<>();
    private int there;
    private int digest;
    private final Map<PeerId, GossipEntry> news = new LinkedHashMap<>();
    private Probe probe;
    private double nextProbe = Double.POSITIVE_INFINITY;

    /** Probes made for others, by our own number. */
    private final Map<Integer, IndirectProbe> relayed = new HashMap<>();

    private ListSync paging;
    private double compareAt;
    private boolean differed;
    private boolean passesOn = true;

    /** Another dispatcher. */
    private static final class MemberRecord {
        MemberUpdate sighting;
        double since;

        /** While it is suspected. */
        double suspectedAt;

        final List<Integer> words = new ArrayList<>();

        MemberRecord(MemberUpdate sighting) {
            this.sighting = sighting;
        }
    }

    /** Something to be passed on, and how often it has been. */
    private static final class GossipEntry {
        final MemberUpdate sighting;
        int sent;

        GossipEntry(MemberUpdate sighting) {
            this.sighting = sighting;
        }
    }

    /** Our own probe of this round. */
    private static final class Probe {
        final MemberRecord of;
        final int number;
        final double answerBy;
        final double endsAt;
        int asked;
        int refusals;
        boolean indirect;
        boolean answered;

        Probe(MemberRecord of, int number, double answerBy, double endsAt) {
            this.of = of;
            this.number = number;
            this.answerBy = answerBy;
            this.endsAt = endsAt;
        }
    }

    /** A probe for somebody else. */
    private record IndirectProbe(
            MemberAddress asker, int number, double refuseAt, double until, boolean refused) {}

    /** A list being read from somebody, page by page. */
    private static final class ListSync {
        final MemberAddress from;
        int number;
        int pages;
        double until;

        ListSync(MemberAddress from) {
            this.from = from;
        }
    }

    /**
     * Life: the start of this process in milliseconds, so that a later one is another.
     *
     * @param seed from which chance is drawn
     * @param doubts whether it doubts itself before others; without it is there to be compared with
     */
    public Membership(
            int cluster,
            PeerId id,
            MemberAddress place,
            long life,
            List<MemberAddress> seeds,
            long seed,
            boolean doubts,
            Transport outside) {
        this.doubts = doubts;
        this.cluster = cluster;
        this.seeds = List.copyOf(seeds);
        this.outside = outside;
        this.seed = seed;
        self = new MemberUpdate(id, place, life, MemberUpdate.State.ALIVE, 0);
        there = 1;
        digest = mark(self);
    }

    // ---- what is known

    public MemberUpdate self() {
        return self;
    }

    /** Of this dispatcher; null for one that is unknown. */
    public MemberUpdate of(PeerId id) {
        MemberRecord one = known.get(id);
        return id.equals(self.id()) ? self : one == null ? null : one.sighting;
    }

    /** How long it has been so; 0 for ourselves. */
    public double since(PeerId id) {
        MemberRecord one = known.get(id);
        return one == null ? 0 : now - one.since;
    }

    /** The others, also those that are not there any more, by their names. */
    public Collection<MemberUpdate> others() {
        return known.values().stream().map(one -> one.sighting).toList();
    }

    /** Those who are there, with ourselves. */
    public int there() {
        return there;
    }

    public int doubt() {
        return doubt;
    }

    // ---- events

    /** Before each event. */
    public void at(double time) {
        now = time;
        if (running && doubts && time - lastAt > STOPPED && nextProbe < time - STOPPED) {
            wokeLate(time - lastAt);
        }
        lastAt = time;
    }

    /** We stood still: what nobody told us meanwhile is held against nobody. */
    private void wokeLate(double gap) {
        probe = null;
        nextProbe = now;
        relayed.clear();
        paging = null;
        suspects.forEach(one -> one.suspectedAt += gap);
        doubt(2);
    }

    public void begin() {
        running = true;
        lastAt = now;
        nextProbe = now;
        step();
    }

    public void woken() {
        if (running) {
            step();
        }
    }

    /** We go, and say so; nothing more is heard after that. */
    public void leave() {
        if (!running) {
            return;
        }
        running = false;
        self = self.withState(MemberUpdate.State.LEFT, self.id());
        int told = (int) Math.ceil(REPEATS * logarithm());
        shuffled(round).stream()
                .limit(told)
                .forEach(
                        one ->
                                sendWithGossip(
                                        one.sighting.address(), new Message.Ack(header(), 0)));
    }

    /**
     * The process whose place another one has taken is silent from here on: both are one member.
     */
    public void fallSilent() {
        running = false;
    }

    public void received(MemberAddress from, Message message) {
        if (!running || message.header().cluster() != cluster) {
            return;
        }
        MemberUpdate sender = message.header().sender();
        boolean itself = sender.id().equals(self.id());
        if (itself
                && sender.incarnation() == self.incarnation()
                && sender.address().equals(self.address())) {
            // Our own message, come back by a routing loop or a reused address.
            return;
        }
        MemberUpdate.State before = state(sender.id());
        heard(sender, sender.id());
        // What comes by pages others read by pages too: passed on, it would keep the latest news
        // waiting.
        passesOn = !(message instanceof Message.SyncPage);
        message.header().updates().forEach(sighting -> heard(sighting, sender.id()));
        passesOn = true;
        if (itself) {
            return;
        }
        if (before != null && !before.isAlive()) {
            // It may not know yet what is said of it, and contradicts as soon as it does.
            tellOf(known.get(sender.id()));
        }
        handle(from, message);
        compare(message.header());
        step();
    }

    private void handle(MemberAddress from, Message message) {
        if (message instanceof Message.Ping) {
            sendWithGossip(from, new Message.Ack(header(), message.sequenceNumber()));
        } else if (message instanceof Message.Ack) {
            answered(message.sequenceNumber());
        } else if (message instanceof Message.Nack) {
            if (probe != null && probe.number == message.sequenceNumber()) {
                probe.refusals++;
            }
        } else if (message instanceof Message.PingRequest request) {
            int number = ++lastNumber;
            relayed.put(
                    number,
                    new IndirectProbe(
                            from, request.sequenceNumber(), now + ANSWER, now + 4 * ROUND, false));
            sendWithGossip(request.target().address(), new Message.Ping(header(), number));
        } else if (message instanceof Message.SyncRequest request) {
            sendPage(from, request);
        } else if (message instanceof Message.SyncPage page) {
            paged(page);
        }
    }

    // ---- probes

    private void step() {
        if (probe != null && !probe.answered && !probe.indirect && now >= probe.answerBy) {
            askOthers();
        }
        if (probe != null && now >= probe.endsAt) {
            endProbe();
        }
        refuseRelayed();
        endSuspicions();
        if (paging != null && now >= paging.until) {
            paging = null;
        }
        if (now >= nextProbe) {
            nextProbe = now + ROUND * (1 + doubt);
            beginProbe();
            tryAgain();
        }
        outside.wake(Math.max(0, next() - now));
    }

    private double next() {
        double next = nextProbe;
        if (probe != null) {
            next = Math.min(next, probe.answered || probe.indirect ? probe.endsAt : probe.answerBy);
        }
        for (MemberRecord one : suspects) {
            next = Math.min(next, suspicionEnd(one));
        }
        for (IndirectProbe one : relayed.values()) {
            next = Math.min(next, one.refused ? one.until : one.refuseAt);
        }
        return next;
    }

    /**
     * In turn, in an order that is made anew each round: no one waits for longer than two of them.
     */
    private void beginProbe() {
        if (there <= 1) {
            return;
        }
        if (nextInRound >= round.size()) {
            List<MemberRecord> order = shuffled(round);
            round.clear();
            round.addAll(order);
            nextInRound = 0;
        }
        MemberRecord of = round.get(nextInRound++);
        double scale = 1 + doubt;
        if (of.sighting.state() == MemberUpdate.State.SUSPECT) {
            // It hears first of all what is said of it.
            tellOf(of);
        }
        probe = new Probe(of, ++lastNumber, now + ANSWER * scale, now + ROUND * scale);
        sendWithGossip(of.sighting.address(), new Message.Ping(header(), probe.number));
    }

    private void answered(int number) {
        IndirectProbe forOther = relayed.remove(number);
        if (forOther != null) {
            sendWithGossip(forOther.asker, new Message.Ack(header(), forOther.number));
        }
        if (probe != null && probe.number == number && !probe.answered) {
            probe.answered = true;
            doubt(-1);
        }
    }

    private void askOthers() {
        probe.indirect = true;
        List<MemberRecord> helpers = shuffled(round);
        helpers.remove(probe.of);
        for (MemberRecord helper : helpers.subList(0, Math.min(ASKED, helpers.size()))) {
            probe.asked++;
            sendWithGossip(
                    helper.sighting.address(),
                    new Message.PingRequest(header(), probe.number, probe.of.sighting));
        }
        // It may also just have been the one datagram that was lost.
        sendWithGossip(probe.of.sighting.address(), new Message.Ping(header(), probe.number));
    }

    private void endProbe() {
        Probe last = probe;
        probe = null;
        if (last.answered) {
            return;
        }
        // Who was asked and does not even refuse: it may well be ourselves whom nobody reaches.
        int silent = last.asked - last.refusals;
        doubt(last.asked == 0 ? 1 : silent);
        MemberUpdate of = last.of.sighting;
        if (of.state().isAlive()) {
            heard(of.withState(MemberUpdate.State.SUSPECT, self.id()), self.id());
        }
    }

    private void refuseRelayed() {
        for (Map.Entry<Integer, IndirectProbe> entry : new ArrayList<>(relayed.entrySet())) {
            IndirectProbe one = entry.getValue();
            if (now >= one.until) {
                relayed.remove(entry.getKey());
            } else if (now >= one.refuseAt && !one.refused) {
                relayed.put(
                        entry.getKey(),
                        new IndirectProbe(one.asker, one.number, one.refuseAt, one.until, true));
                sendWithGossip(one.asker, new Message.Nack(header(), one.number));
            }
        }
    }

    /** Seeds that are not there, and the dead: after a cut has healed somebody has to begin. */
    private void tryAgain() {
        List<MemberAddress> places = new ArrayList<>();
        for (MemberAddress place : seeds) {
            if (!place.equals(self.address())
                    && round.stream().noneMatch(one -> one.sighting.address().equals(place))) {
                places.add(place);
            }
        }
        for (MemberRecord one : new ArrayList<>(known.values())) {
            if (one.sighting.state() == MemberUpdate.State.DEAD) {
                places.add(one.sighting.address());
            }
            if (!one.sighting.state().isAlive() && now - one.since > FORGET) {
                known.remove(one.sighting.id());
            }
        }
        // Who knows nobody has nothing better to do.
        int tries = there <= 1 ? ASKED : 1;
        for (int i = 0; i < tries && !places.isEmpty(); i++) {
            int number = ++lastNumber;
            MemberAddress place = places.remove((int) (draw() * places.size()));
            sendWithGossip(place, new Message.Ping(header(), number));
        }
    }

    private void doubt(int by) {
        doubt = doubts ? Math.max(0, Math.min(MOST_DOUBT, doubt + by)) : 0;
    }

    // ---- what is said

    private MemberUpdate.State state(PeerId id) {
        MemberRecord one = known.get(id);
        return one == null ? null : one.sighting.state();
    }

    private void heard(MemberUpdate said, PeerId by) {
        if (said.id().equals(self.id())) {
            ofOurselves(said);
            return;
        }
        MemberRecord one = known.get(said.id());
        if (one == null) {
            if (known.size() < MOST_KNOWN && said.state() != MemberUpdate.State.LEFT) {
                one = new MemberRecord(said);
                known.put(said.id(), one);
                change(one, said, null, by);
            }
            return;
        }
        MemberUpdate before = one.sighting;
        if (said.supersedes(before)) {
            change(one, said, before, by);
        } else if (said.state() == MemberUpdate.State.SUSPECT
                && said.incarnation() == before.incarnation()
                && before.state() == MemberUpdate.State.SUSPECT
                && !one.words.contains(said.suspectedBy())
                && one.words.size() < WORDS) {
            one.words.add(said.suspectedBy());
            spread(said);
        }
    }

    /** What is said of us is either old, or wrong: we raise our life past it. */
    private void ofOurselves(MemberUpdate said) {
        boolean doubted =
                said.state() != MemberUpdate.State.ALIVE
                        && said.incarnation() >= self.incarnation();
        boolean older = said.incarnation() > self.incarnation();
        if (doubted || older) {
            digest ^= mark(self);
            self =
                    new MemberUpdate(
                            self.id(),
                            self.address(),
                            said.incarnation() + 1,
                            MemberUpdate.State.ALIVE,
                            0);
            digest ^= mark(self);
            if (doubted) {
                doubt(1);
            }
            spread(self);
        }
    }

    private void change(MemberRecord one, MemberUpdate said, MemberUpdate before, PeerId by) {
        MemberUpdate.State last = before == null ? null : before.state();
        one.sighting = said;
        boolean was = last != null && last.isAlive();
        boolean is = said.state().isAlive();
        if (was != is) {
            if (is) {
                // At a place by chance, so that not all probe the newest one first.
                round.add((int) (draw() * (round.size() + 1)), one);
                there++;
            } else {
                int at = round.indexOf(one);
                round.remove(at);
                if (at < nextInRound) {
                    nextInRound--;
                }
                there--;
            }
        }
        if (last != said.state() || before == null) {
            one.since = now;
        }
        one.words.clear();
        suspects.remove(one);
        if (said.state() == MemberUpdate.State.SUSPECT) {
            one.suspectedAt = now;
            one.words.add(said.suspectedBy());
            suspects.add(one);
        }
        // Of all that are there, whatever their order.
        digest ^= (was ? mark(before) : 0) ^ (is ? mark(said) : 0);
        spread(said);
        if (last != said.state()) {
            outside.changed(
                    said,
                    last,
                    by.equals(self.id())
                            ? "by our own probes"
                            : by.equals(said.id()) ? "by its own word" : "by the word of " + by);
        }
    }

    private double logarithm() {
        return Math.max(1, Math.log10(there + 1.0) * 1.5);
    }

    private double suspicionEnd(MemberRecord one) {
        double least = LEAST_SUSPICION * logarithm() * ROUND;
        double most = MOST_SUSPICION * least;
        int others = Math.min(WORDS, there - 2);
        double part = others <= 1 ? 1 : Math.log(one.words.size()) / Math.log(others);
        return one.suspectedAt + Math.max(least, most - (most - least) * part) * (1 + doubt / 2.0);
    }

    private void endSuspicions() {
        for (MemberRecord one : new ArrayList<>(suspects)) {
            if (now >= suspicionEnd(one)) {
                heard(one.sighting.withState(MemberUpdate.State.DEAD, self.id()), self.id());
            }
        }
    }

    // ---- passing it on

    private void spread(MemberUpdate sighting) {
        news.remove(sighting.id());
        if (passesOn || sighting.id().equals(self.id())) {
            news.put(sighting.id(), new GossipEntry(sighting));
        }
    }

    /** First in the next datagram. */
    private void tellOf(MemberRecord one) {
        GossipEntry again =
                news.computeIfAbsent(one.sighting.id(), id -> new GossipEntry(one.sighting));
        again.sent = Math.min(again.sent, -1);
    }

    private MessageHeader header() {
        return new MessageHeader(cluster, self, digest, List.of());
    }

    private void sendWithGossip(MemberAddress to, Message bare) {
        List<GossipEntry> order = new ArrayList<>(news.values());
        order.sort(Comparator.comparingInt(one -> one.sent));
        List<MemberUpdate> all = order.stream().map(one -> one.sighting).toList();
        int fitting = MessageCodec.fitting(bare, all);
        int most = (int) Math.ceil(REPEATS * logarithm());
        for (GossipEntry one : order.subList(0, fitting)) {
            if (++one.sent >= most) {
                news.remove(one.sighting.id());
            }
        }
        outside.send(to, bare.withUpdates(all.subList(0, fitting)));
    }

    // ---- lists that differ

    private static int mark(MemberUpdate one) {
        CRC32 crc = new CRC32();
        crc.update(
                (one.id().name() + " " + one.incarnation() + " " + one.state().isAlive())
                        .getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    private void compare(MessageHeader header) {
        if (header.digest() == digest
                || paging != null
                || now < compareAt
                || !header.sender().state().isAlive()) {
            return;
        }
        // Not at once: what makes the difference may be on its way. But a joiner knows that it
        // knows nobody,
        // and after a cut there is more to tell than datagrams hold: a list read whole is sooner
        // through.
        boolean much = there <= 2 || news.size() > MUCH;
        compareAt = now + COMPARE * logarithm() * (much ? 0.25 : 1) * (0.5 + draw());
        if (!much && !differed) {
            differed = true;
            return;
        }
        differed = false;
        paging = new ListSync(header.sender().address());
        askPage(null);
    }

    private void askPage(MemberUpdate after) {
        paging.number = ++lastNumber;
        paging.until = now + ROUND;
        outside.send(paging.from, new Message.SyncRequest(header(), paging.number, after));
    }

    private void sendPage(MemberAddress to, Message.SyncRequest request) {
        int number = request.sequenceNumber();
        List<MemberUpdate> rest =
                known.values().stream()
                        .map(one -> one.sighting)
                        .filter(
                                one ->
                                        request.after() == null
                                                || one.id().compareTo(request.after().id()) > 0)
                        .toList();
        MemberUpdate longest = rest.isEmpty() ? null : longest(rest);
        int fitting = MessageCodec.fitting(new Message.SyncPage(header(), number, longest), rest);
        MemberUpdate last = fitting == rest.size() ? null : rest.get(fitting - 1);
        MessageHeader header = header().withUpdates(rest.subList(0, fitting));
        outside.send(to, new Message.SyncPage(header, number, last));
    }

    /** Whichever is named as the last of a page has room there. */
    private static MemberUpdate longest(List<MemberUpdate> all) {
        return all.stream()
                .max(Comparator.comparingInt(one -> one.id().name().length()))
                .orElseThrow();
    }

    private void paged(Message.SyncPage page) {
        if (paging == null || paging.number != page.sequenceNumber()) {
            return;
        }
        if (page.last() == null || ++paging.pages > MOST_PAGES) {
            paging = null;
        } else {
            askPage(page.last());
        }
    }

    // ---- chance

    /** From 0 up to 1, by the seed and a counter. */
    private double draw() {
        CRC32 crc = new CRC32();
        long at = ++draws;
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            crc.update((int) (seed >>> shift));
            crc.update((int) (at >>> shift));
        }
        return crc.getValue() / (double) (1L << Integer.SIZE);
    }

    private <T> List<T> shuffled(List<T> list) {
        List<T> order = new ArrayList<>(list);
        for (int i = order.size() - 1; i > 0; i--) {
            int other = (int) (draw() * (i + 1));
            T last = order.get(i);
            order.set(i, order.get(other));
            order.set(other, last);
        }
        return order;
    }
}
