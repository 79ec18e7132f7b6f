package wheelroute.decision;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.zip.CRC32;
import wheelroute.limits.SlowStartBudget;

/**
 * All decisions of one dispatcher: where each submission goes, and what is done when that goes wrong.
 *
 * <p>{@link #advanceTo} gives the time before each event; {@link #accept} accepts a submission and gives a
 * {@link RequestHandle}, on which all that happens to it later is a call. It acts through {@link ActionHandler} only.
 * One thread, no clock, no I/O: the same events give the same actions.
 *
 * <p>The mechanism is the first policy iteration rule of Hyytiä and Aalto, "To Split or not to Split",
 * section 4.1; docs/design.md tells what was kept of it, what was changed, and when each exception acts.
 */
public final class Policy {
    /** Costs this close to the cheapest are a tie: hints are too rough to tell them apart. */
    private static final double TIE_BAND = 0.10;
    /** Offered load is held below this: the cost's factor has a pole at 1. */
    private static final double MOST_LOAD = 0.95;
    /** Speeds and waits are smoothed over this long: shorter follows single jobs, longer misses a change. */
    private static final double MEMORY = 5;
    /** A worker's own record weighs as much as the others' after this many jobs of mean size. */
    private static final double PRIOR_JOBS = 2;
    /** Samples kept of each figure: enough for a mean, few enough to forget. */
    private static final int KEPT = 8;
    /** Arrivals kept: the rate is read off a few seconds of traffic. */
    private static final int KEPT_ARRIVALS = 64;
    /** A worker with this many times the mean of our launches a slot, and a few more, is overfull. */
    private static final double OVERFULL = 2;
    private static final double OVERFULL_SPARE = 1;
    /** A job past its expected end is taken to need this part of what it has had: sizes are heavy-tailed. */
    private static final double TAIL = 0.3;
    /** A bounce needs evidence this fresh: queues can empty faster than old waits are forgotten. */
    private static final double FRESH = 1.5;
    /** Its model's mean wait weighs as much as so many of a worker's own, which one long job can spoil. */
    private static final double WAIT_PRIOR = 4;
    /** A model's own waits are believed from the first few: one launch a second brings no more. */
    private static final double MODEL_PRIOR = 1;
    /** Waits of a model are remembered until so many launches are, however long that takes. */
    private static final double ENOUGH_LAUNCHES = 32;
    private static final double MOST_STRETCH = 16;
    /** How often overdue launches are looked for: well under the shortest allowance. */
    private static final double SWEEP = 0.1;
    /** Silence this long past what was expected means trouble: it covers transit and a pause. */
    private static final double SILENCE = 0.5;
    /** Expected times may be out by this factor before silence counts. */
    private static final double SILENCE_FACTOR = 2;
    /** Copies for silence, so many a submission, none to begin with: a jam must not feed on its copies. */
    private static final double COPIES_EARNED = 0.04;
    private static final double MOST_COPIES = 2;
    /** Failures within this long count against a worker. */
    private static final double FAILURE_MEMORY = 10;
    /** This many recent failures put a worker on probation; one can befall any. */
    private static final int FAILURES_BORNE = 1;
    /** Successes in a row that end a probation: fewer and a worker failing two in three gets out by luck. */
    private static final int GOOD_TRIALS = 3;
    /** Second tries taken to have gone well, so that a few errors prove nothing. */
    private static final int TRIES_TO_BLAME = 2;
    private static final double FIRST_PAUSE = 0.5;
    private static final double LONGEST_PAUSE = 4;
    /** A worker that turned a launch away is left alone this long: about a job's time. */
    private static final double FULL_PAUSE = 0.3;
    private static final double MILLIS = 1000;
    /** Taken off the window in which repeats are known, for the way to the worker. */
    private static final double TRANSIT = 0.5;
    /** Nothing is launched that has less than this left: it could not even reach a worker and return. */
    private static final double LAST_CALL = 0.02;
    /** A second choice must wait at most this part of what is borne: overload must not fill every queue. */
    private static final double SECOND_BEST = 0.4;
    /** But a wait of this part of the quoted time is borne in any case. */
    private static final double WORTH_WAITING = 0.5;
    /** A start this old has seen every earlier end arrive: well over the jitter of a notice. */
    private static final double SETTLED = 0.05;
    /** A slack of this many waits is never outlasted, for all that matters. */
    private static final double CERTAIN = 8;
    /** No worker is taken to run more jobs at once, whatever a report says: arithmetic must stay bounded. */
    private static final int MOST_SLOTS = 64;
    /** Being late is taken to lose at least this part of the value, where settings say it loses none. */
    private static final double LEAST_LOSS = 0.1;
    private static final double STANDARD = 1;
    /** A fetch costs others too: the store is shared, and what is fetched pushes out what others need. */
    private static final double FETCH_TOLL = 3;

    private final Settings settings;
    private final ActionHandler dispatcher;
    private final Map<Ids.RequestClass, RequestClassState> rows = new HashMap<>();
    /** Every worker still named or holding a launch of ours, in the order of their ids. */
    private final Map<Ids.Worker, Worker> workers =
            new TreeMap<>(Comparator.comparingLong(Ids.Worker::value));
    private final Map<Ids.Model, ModelStatistics> models = new HashMap<>();
    /** Those that the list calls active, in the same order. */
    private final List<Worker> fleet = new ArrayList<>();
    private final Map<Ids.Tenant, SampleWindow> uses = new HashMap<>();
    /** Keys whose submissions run in turn, in the order in which they came to be held. */
    private final Map<Ids.Key, KeyQueue> lines = new LinkedHashMap<>();
    private final KeyAffinity<Worker> homes = new KeyAffinity<>(w -> w.listing);
    private final CacheMissCost fetches = new CacheMissCost();
    /** Launches after an error elsewhere: 1 for those that erred too. */
    private final SampleWindow secondTries = new SampleWindow(KEPT);
    private final SampleWindow arrivals = new SampleWindow(KEPT_ARRIVALS);
    /** The work of submissions over all the slots that each takes: what a worker's capacity is counted in. */
    private final SampleWindow loads = new SampleWindow(KEPT_ARRIVALS);
    private final SlowStartBudget.Limits coldTerms;
    private final CRC32 crc = new CRC32();
    private long draws;
    private double now;
    /** One for all models where starts are not told: waits guessed from answers would show their speeds. */
    private final SampleWindow roughWaits = new SampleWindow(KEPT_ARRIVALS);
    private double copiesLeft;
    private double firstTakenAt = Double.POSITIVE_INFINITY;
    /** Worked out once for each choice. */
    private double meanWork = STANDARD;
    private double meanValue = 1;
    private double meanWorth = 1;
    /** A slot's speed over the whole fleet: for what has no worker yet. */
    private double usualSpeed = STANDARD;
    private int launchesOut;
    /** Workers with launches of ours out. */
    private final List<Worker> holding = new ArrayList<>();
    private int processes = 1;
    private DispatcherShares parts;
    private boolean awake;
    private double sweepAt;

    public Policy(Settings settings, ActionHandler dispatcher) {
        this.settings = settings;
        this.dispatcher = dispatcher;
        parts = DispatcherShares.even(settings);
        coldTerms = new SlowStartBudget.Limits(Math.max(1, settings.dispatchers()), settings.position(),
                settings.overloadMultiple(), settings.overloadWindow());
        for (Settings.RequestClass offering : settings.requestClasses()) {
            rows.put(offering.id(), new RequestClassState(offering));
        }
        if (settings.watchesEndpoints()) {
            dispatcher.watchEndpoints();
        }
    }

    // ---- events of no one submission

    /** The time, in seconds, of the events that follow. */
    public void advanceTo(double time) {
        now = time;
    }

    public void onWakeup() {
        for (KeyQueue line : new ArrayList<>(lines.values())) {
            line.advance();
        }
        if (now < sweepAt) {
            return;
        }
        awake = false;
        models.values().forEach(model -> model.overdueWait = 0);
        for (Worker w : new ArrayList<>(holding)) {
            w.noteRunning();
            lookForSilence(w);
            w.noteWaiting();
        }
        stayAwake();
    }

    /** Guards against a fleet of near idle dispatchers that spends its time on looking at nothing. */
    private void stayAwake() {
        if (!awake && (!holding.isEmpty() || !lines.isEmpty())) {
            awake = true;
            sweepAt = now + SWEEP / 2;
            dispatcher.scheduleWakeup(SWEEP);
        }
    }

    /** The list's news: whole lists drop who is not in them. */
    public void onEndpoints(List<Endpoint> entries, boolean whole) {
        if (whole) {
            workers.values().forEach(w -> w.named = false);
        }
        List<Worker> lost = new ArrayList<>();
        for (Endpoint entry : entries) {
            Worker w = workers.computeIfAbsent(entry.worker(), Worker::new);
            if (w.take(entry)) {
                lost.add(w);
            }
        }
        fleet.clear();
        models.values().forEach(model -> model.warmWorkers = 0);
        for (Worker w : workers.values()) {
            if (whole && !w.named) {
                w.unlist();
                lost.add(w);
            }
            if (w.ready) {
                fleet.add(w);
            }
            w.carrier = w.ready && w.warmth(now) >= 1;
            w.model.warmWorkers += w.carrier ? 1 : 0;
        }
        homes.setFleet(fleet);
        lost.forEach(w -> rescueAll(w, !w.unlisted, launch -> true));
        workers.values().removeIf(w -> !w.ready && w.out.isEmpty());
    }

    /** What is shared by all is divided in another way than evenly from here on. */
    public void setShares(DispatcherShares division) {
        parts = division;
    }

    /** So many processes are this one dispatcher: each has its part of the traffic, and of what is shared. */
    public void setProcessCount(int count) {
        processes = Math.max(1, count);
    }

    /** For a process that is to go on where this one is. */
    public LearnedState exportState() {
        LearnedState learned = new LearnedState(new HashMap<>(), new HashMap<>(), new HashMap<>());
        workers.values().forEach(w -> learned.workers().put(w.id, w.seen.export(now)));
        models.forEach((id, model) -> learned.models().put(id, model.export(now)));
        rows.forEach((id, row) -> learned.estimates().put(id, row.hints.export()));
        return learned;
    }

    /** What another process had learned: before anything is taken, and after the list. */
    public void importState(LearnedState learned) {
        learned.workers().forEach((id, told) -> {
            Worker w = workers.get(id);
            if (w != null) {
                w.seen.restore(now, told);
                w.probation = w.failsOften();
            }
        });
        learned.models().forEach((id, told) -> {
            if (models.containsKey(id)) {
                models.get(id).restore(now, told, settings.reportsStart());
            }
        });
        learned.estimates().forEach((id, told) -> {
            if (rows.containsKey(id)) {
                rows.get(id).hints.restore(told);
            }
        });
    }

    /** Listed workers avoided now: they drain, rest after a launch that came back, or are on probation. */
    public int avoidedEndpoints() {
        return (int) workers.values().stream().filter(w -> w.named
                && (!w.ready || w.probation || now < w.fullUntil)).count();
    }

    // ---- submissions

    /** Takes a submission; null when the settings have no such offering. */
    public RequestHandle accept(Request submission) {
        RequestClassState row = rows.get(submission.requestClass());
        if (row == null) {
            return null;
        }
        TrackedRequest handle = new TrackedRequest(submission, row);
        firstTakenAt = Math.min(firstTakenAt, now);
        if (!submission.clientRetry()) {
            // Guards against a retry storm: what is bounced asks again at once, and is no load and no use.
            arrivals.add(now, handle.work, row.value);
            loads.add(now, handle.work * handle.slots, 0);
            if (settings.quotas().getOrDefault(submission.tenant(), 0.0) > 0) {
                uses.computeIfAbsent(submission.tenant(), t -> new SampleWindow(KEPT_ARRIVALS)).add(now, 1, 0);
            }
        }
        copiesLeft = Math.min(MOST_COPIES, copiesLeft + COPIES_EARNED);
        if (handle.line != null) {
            handle.line.held.addLast(handle);
            handle.line.advance();
            stayAwake();
        } else {
            handle.place();
        }
        return handle;
    }

    /** One submission, from its taking until its last launch has ended. */
    private final class TrackedRequest implements RequestHandle {
        private final Request submission;
        private final RequestClassState row;
        private final double work;
        private final double slots;
        private final double takenAt = now;
        private final KeyAffinity<Worker>.Placement homes;
        /** Null where it waits for no others of its key. */
        private final KeyQueue line;
        private final List<Attempt> launches = new ArrayList<>(2);
        /** Until when its key rests once it is over: a launch of it may still be running. */
        private double restsUntil = Double.NEGATIVE_INFINITY;
        private int out;
        private boolean done;
        private boolean streaming;
        private boolean unusable;
        private boolean erred;

        private TrackedRequest(Request submission, RequestClassState row) {
            this.submission = submission;
            this.row = row;
            this.work = row.hints.workFor(submission.estimatedWork());
            this.slots = Math.max(1, submission.slots());
            this.homes = submission.key() == null ? null : Policy.this.homes.forKey(submission.key());
            this.line = row.of.ordered() && submission.key() != null
                    ? lines.computeIfAbsent(submission.key(), KeyQueue::new) : null;
        }

        /** Nothing more will happen to it. */
        @Override
        public boolean isComplete() {
            return done && out == 0;
        }

        /** The client left, or its answer is known to it already. */
        @Override
        public void onClientGone() {
            done = true;
            callOff();
            leaveLine();
        }

        /** The outer limit has come, or no more time is left: what waits for its turn is told so. */
        @Override
        public void onDeadline() {
            if (!done && out == 0) {
                giveUp(0);
            }
        }

        @Override
        public void onStarted(int number) {
            Attempt launch = launch(number);
            if (launch != null && launch.isOut()) {
                began(launch, now);
            }
        }

        private void began(Attempt launch, double at) {
            launch.startedAt = at;
            launch.worker.heard();
            launch.worker.overtook(launch);
            double unexplained = Math.max(0, launch.unexplained(at));
            launch.worker.seen.waits.add(now, unexplained, 1);
            launch.worker.model.waits.add(now, at - launch.sentAt, unexplained);
        }

        /** Where starts are not told the first note tells one; each note tells how long the job will run. */
        @Override
        public void onProgress(int number, double share) {
            Attempt launch = launch(number);
            if (launch != null && launch.isOut() && share > 0) {
                launch.worker.heard();
                launch.heardAt = now;
                if (!launch.hasStarted()) {
                    began(launch, Math.max(launch.sentAt, now - settings.progressInterval()));
                }
                launch.runFor = (now - launch.startedAt) / Math.min(1, share);
            }
        }

        @Override
        public void onStreaming(int number) {
            Attempt launch = launch(number);
            if (launch != null) {
                streaming = true;
                launch.worker.heard();
            }
        }

        /** A launch ended; over when the submission itself ended with it or before it. */
        @Override
        public void onEnded(int number, Outcome outcome, boolean over, LoadReport report) {
            Attempt launch = launch(number);
            if (launch == null || !launch.isOut()) {
                return;
            }
            launch.outcome = outcome;
            out--;
            launchesOut--;
            launch.worker.out.remove(launch);
            if (launch.worker.out.isEmpty()) {
                holding.remove(launch.worker);
            }
            launch.worker.reported(report);
            launch.worker.learn(launch, outcome);
            unusable |= outcome == Outcome.INVALID_REQUEST;
            if (erred && (outcome == Outcome.FAILED || outcome == Outcome.SUCCEEDED)) {
                secondTries.add(now, outcome == Outcome.FAILED ? 1 : 0, 0);
            }
            erred |= outcome == Outcome.FAILED;
            restsUntil = outcome.mayStillRun() ? now + settings.keyQuietPeriod() : restsUntil;
            if (over || outcome == Outcome.SUCCEEDED) {
                done = true;
                callOff();
            } else if (!done) {
                place();
            }
            leaveLine();
        }

        private void leaveLine() {
            if (line != null && isComplete() && line.held.remove(this)) {
                line.restsUntil = Math.max(line.restsUntil, restsUntil);
                line.advance();
            }
        }

        private Attempt launch(int number) {
            return number >= 0 && number < launches.size() ? launches.get(number) : null;
        }

        /** Guards against work for an answer that nobody waits for. */
        private void callOff() {
            for (int i = 0; i < launches.size() && settings.mayCancel(); i++) {
                if (launches.get(i).isOut() && !launches.get(i).calledOff) {
                    launches.get(i).calledOff = true;
                    dispatcher.cancelAttempt(submission.id(), i);
                }
            }
        }

        private boolean mayHaveRun() {
            return launches.stream().anyMatch(Attempt::mayHaveRun);
        }

        /** Rule 2, and the limits on copies and launches: whether one more launch anywhere can be right. */
        private boolean mayLaunch() {
            if (done || streaming || unusable || (erred && errorsFollow())
                    || launches.size() >= settings.maxAttempts() || (out > 0 && !settings.mayHedge())
                    || now > submission.deadline() - LAST_CALL) {
                return false;
            }
            return row.of.idempotency() != Idempotency.NON_IDEMPOTENT || !mayHaveRun();
        }

        /** Rule 2 for deduplicated submissions: only where, and while, the repeat is known as one. */
        private boolean mayGoTo(Worker w) {
            for (int i = 0; i < launches.size(); i++) {
                Attempt launch = launches.get(i);
                if (launch.worker == w && (launch.isOut() || launch.outcome == Outcome.REJECTED)) {
                    return false;
                }
                if (row.of.idempotency() == Idempotency.IDEMPOTENT_BY_KEY && launch.mayHaveRun() && (now > launch.sentAt
                        + row.of.idempotencyWindow() - TRANSIT || !row.of.idempotencyScope().covers(launch.place, w.listing))) {
                    return false;
                }
            }
            return row.of.model() == null || row.of.model().equals(w.listing.model());
        }

        /** Rule 2: a bounce tells the client that a retry does no harm. */
        private boolean mayBounce() {
            return !mayHaveRun() || (row.of.isSafeToRetryAnywhere() && !unusable);
        }

        /** Sends it to the cheapest worker, or gives it up at once if nothing is left to wait for. */
        private void place() {
            Worker best = mayLaunch() ? cheapest(this, null) : null;
            Worker choice = best;
            if (best != null && out == 0 && mayBounce()) {
                // What the least patient offering bears, a unit of value: none may fill queues past it.
                double shared = rows.values().stream().mapToDouble(RequestClassState::patience).min().orElse(0)
                        * Math.sqrt(row.value);
                double fair = fairness();
                if (isHopeless(best, 1, shared, fair)) {
                    // Guards against a bounce beside idle workers, because the fastest one has a queue.
                    choice = cheapest(this, w -> !isHopeless(w, SECOND_BEST, shared, fair));
                }
            }
            if (choice != null) {
                launchAt(choice);
            } else if (out == 0) {
                giveUp(best == null ? FULL_PAUSE : best.waitNow);
            }
        }

        private boolean isHopeless(Worker w, double part, double shared, double fair) {
            double wait = w.ownWaitNow + w.unseen(FRESH, w.model.recentExternalWait) + fetches.expectedSeconds(w.home);
            // Waiting is what a bounce spares: that a job looks too long is only a rough hint's word.
            double borne = row.borne(work, work / w.speed());
            // What it waited in its line filled no worker's queue, but its time is gone all the same.
            return wait > part * Math.min(borne, shared) * fair
                    || (line != null && now - takenAt + wait > borne);
        }

        /** Guards against a tenant far past its share crowding out others: it bears less, they bear all. */
        private double fairness() {
            double use = uses.containsKey(submission.tenant()) ? use(submission.tenant()) : 0;
            double least = uses.keySet().stream().mapToDouble(Policy.this::use).min().orElse(use);
            return use > 1 ? Math.max(Math.sqrt(settings.overQuotaValue()), least / use) : 1;
        }

        private void launchAt(Worker w) {
            Attempt launch = new Attempt(this, launches.size(), w, now);
            launch.ownWait = w.ownWaitNow;
            launch.expectedWait = w.waitNow;
            launch.home = w.home;
            w.launched++;
            if (homes != null) {
                homes.recordAttempt(w, w.launched);
            }
            launches.add(launch);
            out++;
            launchesOut++;
            w.out.add(launch);
            if (w.out.size() == 1) {
                holding.add(w);
                stayAwake();
            }
            w.cold.recordSent(now, work * slots);
            dispatcher.startAttempt(submission.id(), w.id, 0);
        }

        /** Rule 1: the one final answer, as soon as nothing is out and nothing more may be tried. */
        private void giveUp(double after) {
            done = true;
            if (mayBounce()) {
                dispatcher.reject(submission.id(), settings.sendsRetryAfter()
                        ? Math.min(settings.maxRetryAfter(), after) : 0);
            } else {
                dispatcher.fail(submission.id());
            }
            leaveLine();
        }

        /** How long until its launches have ended, as far as is known. */
        private double remaining() {
            double longest = 0;
            for (Attempt launch : launches) {
                if (launch.isOut()) {
                    double ahead = launch.hasStarted() ? 0 : launch.sentAt + launch.expectedWait - now;
                    longest = Math.max(longest, Math.max(0, ahead)
                            + launch.remaining(now, launch.worker.speed()));
                }
            }
            return longest;
        }

        /** A launch that its worker has lost or keeps silent about: again elsewhere, where that may be. */
        private boolean rescue(Attempt launch) {
            if (launch.rescued || done || streaming) {
                return false;
            }
            launch.rescued = true;
            int before = launches.size();
            if (settings.mayHedge()) {
                place();
            } else if (settings.mayCancel() && (row.of.idempotency() == Idempotency.IDEMPOTENT
                    || (row.of.idempotency() == Idempotency.IDEMPOTENT_BY_KEY && launch.worker.heardAt > launch.heardAt
                    && cheapest(this, w -> true) != null))) {
                launch.calledOff = true;
                dispatcher.cancelAttempt(submission.id(), launch.number);
            }
            return launches.size() > before || launch.calledOff;
        }
    }

    // ---- what runs in turn

    /** The submissions of one key, in the order of their taking: one at a time, whatever its offering. */
    private final class KeyQueue {
        final Ids.Key key;
        final ArrayDeque<TrackedRequest> held = new ArrayDeque<>();
        double restsUntil = Double.NEGATIVE_INFINITY;
        private double wakesAt;
        private boolean advancing;

        KeyQueue(Ids.Key key) {
            this.key = key;
        }

        /** Begins what may begin now, and tells at once who cannot be in time any more. */
        void advance() {
            if (advancing) {
                return;
            }
            advancing = true;
            try {
                giveUpLate();
                while (!held.isEmpty() && held.peekFirst().launches.isEmpty() && now >= restsUntil) {
                    held.peekFirst().place();
                }
            } finally {
                advancing = false;
            }
            if (held.isEmpty() && now >= restsUntil) {
                lines.remove(key);
            } else if (!held.isEmpty() && now < restsUntil && wakesAt != restsUntil) {
                wakesAt = restsUntil;
                dispatcher.scheduleWakeup(restsUntil - now);
            }
        }

        /**
         * Guards against a line that cannot clear. Jobs keep their order, so each that would begin too late
         * costs one: of those not begun the one worth least for its time, and of these the last.
         */
        private void giveUpLate() {
            double free = Math.max(now, restsUntil);
            List<TrackedRequest> kept = new ArrayList<>();
            for (TrackedRequest h : new ArrayList<>(held)) {
                if (!h.launches.isEmpty()) {
                    free += h.remaining();
                    continue;
                }
                double run = h.work / usualSpeed;
                double excess = free - h.takenAt - h.row.borne(h.work, run);
                boolean late = now + 2 * SWEEP > h.submission.deadline()
                        && (h != held.peekFirst() || now < restsUntil);
                List<TrackedRequest> lesser = kept.stream().filter(k -> k.row.value < h.row.value)
                        .sorted(Comparator.comparingDouble(k -> k.row.value)).toList();
                late |= excess > lesser.stream().mapToDouble(k -> k.work / usualSpeed).sum();
                for (int i = 0; !late && excess > 0 && i < lesser.size(); i++) {
                    TrackedRequest least = lesser.get(i);
                    kept.remove(least);
                    excess -= least.work / usualSpeed;
                    free -= least.work / usualSpeed;
                    least.giveUp(free - now);
                }
                if (late) {
                    h.giveUp(free - now);
                } else {
                    kept.add(h);
                    free += run;
                }
            }
        }
    }

    // ---- the ordinary path

    /** The worker of least admittance cost, ties by chance, or null; a second choice must meet its test. */
    private Worker cheapest(TrackedRequest h, Predicate<Worker> second) {
        meanWork = arrivals.meanOfFirst(STANDARD);
        meanValue = arrivals.meanOfSecond();
        meanWorth = arrivals.meanOfProduct();
        // Guards against a hundred near idle dispatchers that forget a model's waits between two launches.
        double stretch = Math.max(1, Math.min(MOST_STRETCH,
                ENOUGH_LAUNCHES / (MEMORY * arrivals.rate(now))));
        models.values().forEach(model -> model.updateWaits(now, stretch * MEMORY, stretch * FRESH));
        double capacity = 0;
        double slotsInAll = 0;
        fetches.update(meanWork);
        for (Worker w : fleet) {
            w.figure(h.slots);
            w.home = h.homes == null ? KeyAffinity.CACHED : KeyAffinity.PREFERRED_COUNT;
            capacity += w.speedNow * w.slots();
            slotsInAll += w.slots();
        }
        if (h.homes != null) {
            int home = 0;
            for (Worker w : h.homes.preferred(h.row.of.model())) {
                w.home = home++;
            }
            h.homes.forEachRecent(w -> w.launched, w -> w.home = KeyAffinity.CACHED);
        }
        usualSpeed = slotsInAll > 0 ? capacity / slotsInAll : STANDARD;
        double perSlot = launchesOut / Math.max(1, slotsInAll);
        // All dispatchers' traffic, taken to be like ours: later arrivals at a queue are not ours alone.
        int senders = senders();
        double load = Math.min(MOST_LOAD, senders * arrivals.rateOfFirst(now) / capacity);
        double kappa = senders * arrivals.rate(now) * meanValue / (2 * (1 - load)) / capacity;
        double least = Double.POSITIVE_INFINITY;
        // The last resorts come in only when nothing better is open: overfull ones, then those on probation.
        int resorts = second == null ? 3 : 1;
        for (int resort = 0; resort < resorts && least == Double.POSITIVE_INFINITY; resort++) {
            for (Worker w : fleet) {
                boolean overfull = w.out.size() > w.slots() * (OVERFULL * perSlot + OVERFULL_SPARE);
                boolean open = h.mayGoTo(w) && w.mayTakeCold(h.work * h.slots) && now >= w.fullUntil
                        && (resort > 0 || !overfull) && (resort > 1 || w.takesTrial(h)
                        || (second != null && w.servesSome(h)))
                        && (second == null || second.test(w));
                w.cost = open ? w.admittanceCost(h, kappa) : Double.POSITIVE_INFINITY;
                least = Math.min(least, w.cost);
            }
        }
        return least == Double.POSITIVE_INFINITY ? null : drawAmong(least * (1 + TIE_BAND));
    }

    private int senders() {
        return processes * Math.max(1, settings.dispatchers());
    }

    private Worker drawAmong(double most) {
        int tied = 0;
        for (Worker w : fleet) {
            tied += w.cost <= most ? 1 : 0;
        }
        int pick = tied > 1 ? (int) (chance() * tied) : 0;
        for (Worker w : fleet) {
            if (w.cost <= most && pick-- == 0) {
                return w;
            }
        }
        return null;
    }

    /** How far a tenant is past its quota, if all dispatchers have its traffic as we do. */
    private double use(Ids.Tenant tenant) {
        return settings.dispatchers() * uses.get(tenant).rate(now) / settings.quotas().get(tenant);
    }

    private double chance() {
        return draw(settings.seed(), ++draws);
    }

    private double draw(long seed, long counter) {
        crc.reset();
        crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(seed).putLong(counter).flip());
        return crc.getValue() / (double) (1L << Integer.SIZE);
    }

    // ---- trouble

    /**
     * Guards against blame for what fails wherever it goes: while second tries err as well, an error is its
     * submission's and not its worker's, and a further launch is a waste. Looked at anew when these are old.
     */
    private boolean errorsFollow() {
        int tries = secondTries.countSince(now - FAILURE_MEMORY);
        double erred = secondTries.sumOfFirstSince(now - FAILURE_MEMORY);
        return erred > (tries + TRIES_TO_BLAME) / 2.0;
    }

    /** Guards against a hung or vanished worker, which looks merely busy. */
    private void lookForSilence(Worker w) {
        Attempt oldest = w.out.get(0);
        // What others wait is the measure: in a jam every start is late and no worker silent.
        double unheard = now - Math.max(w.heardAt, oldest.sentAt);
        // Else the most of all waits is not asked for at every worker and sweep.
        double expected = unheard <= SILENCE ? 0 : Math.max(oldest.expectedWait, w.model.waits.maxOfFirst());
        if (oldest.hasStarted() || !settings.reportsStart()) {
            double run = oldest.handle.work / w.speed();
            expected += settings.progressInterval() > 0 ? settings.progressInterval() : SILENCE_FACTOR * run;
        }
        if (unheard > SILENCE + SILENCE_FACTOR * expected) {
            if (!w.silent) {
                w.silent = true;
                w.failed();
                w.probation = true;
            }
            rescueAll(w, false, launch -> true);
        } else if (settings.progressInterval() > 0) {
            // Guards against a connection that falls silent beside others that go on.
            rescueAll(w, false, launch -> now - launch.heardAt > SILENCE + SILENCE_FACTOR * nextWord(launch));
        }
    }

    /** How long until a launch that runs tells of it: by its progress, or its end. */
    private double nextWord(Attempt launch) {
        double run = launch.handle.work / launch.worker.speed();
        return launch.hasStarted() ? settings.progressInterval() : Math.min(settings.progressInterval(), run);
    }

    private void rescueAll(Worker w, boolean lost, Predicate<Attempt> which) {
        for (Attempt launch : new ArrayList<>(w.out)) {
            if ((lost || copiesLeft >= 1) && which.test(launch) && launch.handle.rescue(launch)) {
                copiesLeft -= lost ? 0 : 1;
            }
        }
    }

    // ---- workers

    /** A worker as this dispatcher knows it: what the list says, and its own record. */
    private final class Worker {
        final Ids.Worker id;
        Endpoint listing;
        ModelStatistics model;
        boolean ready;
        boolean named;
        private boolean near;
        /** Missing from the list, which is no proof that it is gone: one failure settles it. */
        boolean unlisted;
        final List<Attempt> out = new ArrayList<>();
        final WorkerStatistics seen = new WorkerStatistics(KEPT);
        final SlowStartBudget cold = new SlowStartBudget(coldTerms);
        double heardAt = Double.NEGATIVE_INFINITY;
        double fullUntil = Double.NEGATIVE_INFINITY;
        double answeredAt = Double.NEGATIVE_INFINITY;
        /** It was ready and warm at the list's last word, which spares counting at every choice. */
        boolean carrier;
        boolean silent;
        boolean probation;
        int goodTrials;
        double trialAt = Double.NEGATIVE_INFINITY;
        double pause = FIRST_PAUSE;
        double cost;
        int launched;
        /** Which home of the key it is for the submission now placed. */
        int home = KeyAffinity.CACHED;
        private double[] slotFreeAt = new double[1];
        private double speedNow;
        private double ownWaitNow;
        private double waitNow;
        private double backlogNow;

        Worker(Ids.Worker id) {
            this.id = id;
        }

        /** Takes its entry in the list; true when what is out there is lost. */
        boolean take(Endpoint entry) {
            boolean again = listing != null && entry.startedAt() > 0
                    && !(entry.startedAt() <= listing.startedAt());
            listing = entry;
            near = entry.zone().equals(settings.zone());
            model = models.computeIfAbsent(entry.model(), m -> new ModelStatistics(new SampleWindow(KEPT_ARRIVALS),
                    settings.reportsStart() ? new SampleWindow(KEPT_ARRIVALS) : roughWaits,
                    settings.reportsStart() ? MODEL_PRIOR : WAIT_PRIOR));
            // Not the same for all that start in one moment.
            cold.onWorkerStarted(entry.startedAt(), draw(Math.round(entry.startedAt() * MILLIS),
                    entry.cell().value()));
            named = true;
            if (entry.state() == Endpoint.State.REMOVED) {
                unlist();
            } else {
                ready = entry.state() == Endpoint.State.READY;
                unlisted = false;
            }
            if (again) {
                // Guards against a restarted worker that keeps its old speed and its old faults.
                seen.clear();
                probation = false;
                silent = false;
            }
            return again || entry.state() == Endpoint.State.REMOVED;
        }

        /** Where only a drain binds a list may be wrong about who is gone: such a worker is on trial. */
        void unlist() {
            ready &= settings.removalIsAdvisory();
            if (ready && !unlisted) {
                unlisted = true;
                probation = true;
                trialAt = now + pause;
            }
        }

        void heard() {
            heardAt = now;
            silent = false;
        }

        /** Free slots alone: by queues dispatchers herd; running plus free, of two moments, overstates. */
        void reported(LoadReport report) {
            if (settings.reportsFreeSlots() && !Double.isNaN(report.freeSlots())) {
                model.slots = Math.max(model.slots, (int) Math.round(report.freeSlots()));
            }
        }

        /** Guards against a start that overtakes the end before it: counted at once, slots only ever grow. */
        void noteRunning() {
            int running = 0;
            for (Attempt launch : out) {
                running += launch.hasStarted() && now - launch.startedAt > SETTLED
                        ? (int) launch.handle.slots : 0;
            }
            model.slots = Math.max(model.slots, running);
        }

        /** Guards against believing only the lucky: what waits past its model's mean has not started yet. */
        void noteWaiting() {
            // A silent worker's launches tell of the worker, not of its model.
            for (int i = 0; i < out.size() && !silent; i++) {
                model.overdueWait += out.get(i).hasStarted() ? 0
                        : Math.max(0, overdue(out.get(i)) - model.externalWait);
            }
        }

        /** Workers begin in the order of the sends: what was sent before one that began has begun too. */
        void overtook(Attempt launch) {
            for (Attempt other : out) {
                other.heardAt = other.sentAt <= launch.sentAt ? Math.min(other.heardAt, now) : other.heardAt;
            }
        }

        /** What the end of a launch tells of its worker. */
        void learn(Attempt launch, Outcome outcome) {
            switch (outcome) {
                case SUCCEEDED -> {
                    heard();
                    answeredAt = now;
                    overtook(launch);
                    if (carrier) {
                        model.recordCompletedWork(now, launch.handle.work * launch.handle.slots);
                    }
                    double from = launch.hasStarted() ? launch.startedAt : launch.sentAt;
                    if (!launch.hasStarted()) {
                        double unexplained = launch.unexplained(now) - launch.handle.work / speed();
                        seen.waits.add(now, unexplained, 1);
                        model.waits.add(now, now - launch.sentAt, unexplained);
                    }
                    if (launch.hasStarted() || launch.ownWait == 0) {
                        double run = Math.max(now - from, settings.timeResolution());
                        if (launch.home != KeyAffinity.CACHED) {
                            fetches.record(now, launch.home, launch.handle.work,
                                    run - launch.handle.work / speed());
                        } else {
                            // As if warm: speed() scales by warmth, and coldness must not count twice.
                            seen.runs.add(now, launch.handle.work, run * warmth(from));
                            if (warmth(from) >= 1) {
                                // Guards against a release that makes its whole model look slow.
                                model.runs.add(now, launch.handle.work, run);
                                model.refitSpeed();
                                launch.handle.row.hints.record(launch.handle.submission.estimatedWork(),
                                        run * speed());
                            }
                        }
                    }
                    if (++goodTrials >= GOOD_TRIALS) {
                        probation = false;
                        seen.failures.clear();
                        pause = FIRST_PAUSE;
                    }
                }
                case REJECTED -> {
                    heard();
                    fullUntil = now + FULL_PAUSE;
                }
                case FAILED -> {
                    heard();
                    if (!errorsFollow()) {
                        failed();
                    }
                }
                case CONNECT_FAILED -> {
                    // Dead, cut off or out of connections: none of them passes within a moment.
                    fullUntil = now + FULL_PAUSE;
                    failed();
                }
                case CONNECTION_LOST, UNKNOWN -> failed();
                default -> {
                }
            }
        }

        boolean failsOften() {
            return seen.failures.countSince(now - FAILURE_MEMORY) > FAILURES_BORNE;
        }

        void failed() {
            seen.failures.add(now, 1, 1);
            goodTrials = 0;
            if (unlisted) {
                ready = false;
                fleet.remove(this);
            }
            if (probation || failsOften()) {
                probation = true;
                trialAt = now + pause;
                pause = Math.min(LONGEST_PAUSE, 2 * pause);
            }
        }

        /** Probation: one launch at a time, after a pause, and only of what may be tried again. */
        boolean takesTrial(TrackedRequest h) {
            return !probation || (now >= trialAt && out.isEmpty() && h.row.of.idempotency() != Idempotency.NON_IDEMPOTENT);
        }

        /** Guards against bounces beside a worker that errs now and then, while the others are full. */
        boolean servesSome(TrackedRequest h) {
            return !silent && now - answeredAt < FRESH && out.size() < slots()
                    && h.row.of.isSafeToRetryAnywhere();
        }

        int slots() {
            return Math.min(MOST_SLOTS, Math.max(1, model.slots));
        }

        /** Learned speed; a worker new to us begins at the others' and nears its own record. */
        double speed() {
            double prior = PRIOR_JOBS * meanWork;
            seen.runs.computeDecayedSums(now, MEMORY);
            return warmth(now) * (prior * model.speed + seen.runs.decayedFirst())
                    / (prior + seen.runs.decayedSecond());
        }

        /** The part of its capacity a worker has at least: it warms up no slower than evenly. */
        double warmth(double time) {
            double age = time - listing.startedAt();
            if (!(age < settings.slowStartDuration())) {
                return 1;
            }
            return settings.slowStartShare() + (1 - settings.slowStartShare()) * Math.max(0, age) / settings.slowStartDuration();
        }

        /** Rule 4: our share of what a cold worker may be sent within any window. */
        boolean mayTakeCold(double work) {
            double warm = warmth(now - settings.overloadWindow());
            if (warm >= 1) {
                return true;
            }
            // It has the slots seen busy, and carries what all of its model do: for us and for the others.
            double able = Math.max(model.speed * slots(), senders() * model.workRatePerWorker(now, firstTakenAt));
            double capacity = warm * able * settings.overloadWindow() / processes;
            return cold.allows(now, work, capacity, loads.meanOfFirst(STANDARD), parts);
        }

        /** Works out the waits and the backlog once, for the costs and the launch that follow. */
        void figure(double need) {
            double unseen = unseen(MEMORY, model.externalWait);
            speedNow = speed();
            ownWaitNow = out.isEmpty() ? 0 : ownWait(need);
            waitNow = ownWaitNow + unseen;
            double sum = 0;
            for (int i = 0; !out.isEmpty() && i < slots(); i++) {
                sum += slotFreeAt[i];
            }
            backlogNow = sum / slots() + unseen;
        }

        /** How long until a job starts that comes after ours. */
        double ownWait(double need) {
            int n = slots();
            if (slotFreeAt.length < n) {
                slotFreeAt = new double[n];
            }
            Arrays.fill(slotFreeAt, 0);
            for (int i = 0; i < out.size(); i++) {
                occupy(out.get(i).handle.slots, out.get(i).remaining(now, speed()));
            }
            return slotFreeAt[startingSlot(need)];
        }

        /** The slot whose freeing lets a job start; after this the slots it takes with it come before it. */
        private int startingSlot(double need) {
            int n = slots();
            if (need > 1) {
                Arrays.sort(slotFreeAt, 0, n);
                return Math.min(n, (int) Math.ceil(need)) - 1;
            }
            int first = 0;
            for (int i = 1; i < n; i++) {
                first = slotFreeAt[i] < slotFreeAt[first] ? i : first;
            }
            return first;
        }

        private void occupy(double need, double run) {
            int last = startingSlot(need);
            slotFreeAt[last] += run;
            for (int i = 0; need > 1 && i < last; i++) {
                slotFreeAt[i] = slotFreeAt[last];
            }
        }

        /** Waiting that our own launches do not explain: others' work, seen in how late ours start. */
        private double unseen(double memory, double usual) {
            // A cold worker is spared, so it has no queue, however long its model's are. A warm one has, or
            // all would take to those that have just become so.
            double prior = warmth(now) < 1 ? 0 : WAIT_PRIOR * usual;
            seen.waits.computeDecayedSums(now, memory);
            double mean = (prior + seen.waits.decayedFirst()) / (WAIT_PRIOR + seen.waits.decayedWeight());
            return Math.max(0, Math.max(mean, overdue()));
        }

        /** Guards against sending into a stopped queue: a launch still waiting tells before a start. */
        private double overdue() {
            for (int i = 0; i < out.size(); i++) {
                if (!out.get(i).hasStarted()) {
                    return overdue(out.get(i));
                }
            }
            return 0;
        }

        /** How far a launch that has not started is past the first word due of it; under 0 before. */
        private double overdue(Attempt launch) {
            return launch.unexplained(now) - settings.startNoticeDelay();
        }

        /** Equation 3 of the paper for one worker, and the prices that the settings put on the choice. */
        double admittanceCost(TrackedRequest h, double kappa) {
            double run = h.work / speedNow + FETCH_TOLL * fetches.expectedSeconds(home);
            double ownKappa = kappa * speedNow * slots();
            double added = run * h.slots / slots();
            double value = h.row.value;
            double fine = ownKappa * (2 * backlogNow * added + added * added);
            double quoted = h.row.of.latencyObjectiveFor(h.work);
            // A price in mean worth, put in the cost's own coin: a late answer loses this one's worth.
            double crossing = near ? 0
                    : settings.crossZonePrice() * meanWorth * quoted / h.work
                    / Math.max(LEAST_LOSS, 1 - h.row.of.lateValue());
            double fetchPrice = fetches.missProbability(home) * settings.cacheMissPrice() * meanWorth * quoted / h.work
                    / Math.max(LEAST_LOSS, 1 - h.row.of.lateValue());
            double risk = seen.failures.countSince(now - FAILURE_MEMORY) / (double) KEPT;
            double slack = Math.max(0, quoted - run);
            // What the linear cost does not see: a wait near the slack loses the value, a longer run nothing.
            double late = waitNow * CERTAIN < slack ? 0 : waitNow > 0 ? Math.exp(-slack / waitNow) : 1;
            return value * (waitNow + run) + fine + crossing + fetchPrice + (risk + late) * value * quoted;
        }
    }

    // ---- what is kept

    /** One launch, from its sending to its end. */
    private static final class Attempt {
        final TrackedRequest handle;
        final int number;
        final Worker worker;
        /** The list's entry at the send: the cell and zone that a repeat must share. */
        final Endpoint place;
        final double sentAt;
        double startedAt = -1;
        /** When it last was heard of, or must have begun, as what was sent after it had; else never. */
        double heardAt = Double.POSITIVE_INFINITY;
        /** How long it will run in all, by its progress; 0 until that is told. */
        double runFor;
        double ownWait;
        double expectedWait;
        int home;
        Outcome outcome;
        boolean calledOff;
        boolean rescued;

        Attempt(TrackedRequest handle, int number, Worker worker, double sentAt) {
            this.handle = handle;
            this.number = number;
            this.worker = worker;
            this.place = worker.listing;
            this.sentAt = sentAt;
        }

        boolean hasStarted() {
            return startedAt > 0;
        }

        /** Waiting that our own launches ahead do not explain, up to this time or its start. */
        double unexplained(double at) {
            return at - sentAt - ownWait;
        }

        boolean isOut() {
            return outcome == null;
        }

        boolean mayHaveRun() {
            return outcome == null || outcome.mayHaveRun();
        }

        double remaining(double now, double speed) {
            double run = runFor > 0 ? runFor : handle.work / speed;
            double had = hasStarted() ? now - startedAt : Math.max(0, now - sentAt - expectedWait);
            return Math.max(run - had, runFor > 0 ? 0 : TAIL * had);
        }
    }

    /** A row of the table of offerings: its settings, and what its hints were worth lately. */
    private static final class RequestClassState {
        final Settings.RequestClass of;
        final double value;
        final CostEstimates hints = new CostEstimates(KEPT_ARRIVALS);

        RequestClassState(Settings.RequestClass of) {
            this.of = of;
            value = of.priorityWeight() > 0 ? of.priorityWeight() : 1;
        }

        /** Guards against patient offerings filling an overload's queues, where the others then starve. */
        double patience() {
            double work = hints.meanWork();
            return borne(work, work) / Math.sqrt(value);
        }

        double borne(double work, double run) {
            return Math.max(of.latencyObjectiveFor(work) - run, WORTH_WAITING * of.latencyObjectiveFor(work));
        }
    }
}
