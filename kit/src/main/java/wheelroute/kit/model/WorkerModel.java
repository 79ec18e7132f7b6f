package wheelroute.kit.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wheelroute.kit.scenario.Scenario;

/**
 * One worker: slots served from one queue in order, at a speed that faults and warmth change. A job
 * runs at the warmth of its start; slow-downs and stalls change the pace of what runs already.
 */
public final class WorkerModel {
    /** An error comes at once: so long after the launch. */
    private static final double ERROR_TIME = 0.002;

    /** A worker that fell over is back after so long. */
    private static final double FALL = 3;

    /** Who opens and closes its door; a closed one refuses connections. */
    public interface PortListener {
        void onOpened(WorkerModel worker);

        void closed(WorkerModel worker);
    }

    public final int number;
    public final String name;
    public final Scenario.WorkerGroup group;
    private final Timeline timeline;
    private final Scenario.PlatformTerms terms;
    private final SeededRandom chance;
    private final EndpointRegistry registry;
    private final EventListener witness;
    private final ArrayDeque<WorkerAttempt> waiting = new ArrayDeque<>();
    private final List<WorkerAttempt> running = new ArrayList<>();

    /** Those who were not told something: broken off when the worker can speak again. */
    private final List<WorkerAttempt> untold = new ArrayList<>();

    private final ArrayDeque<double[]> cameCold = new ArrayDeque<>();
    private final ArrayDeque<double[]> freeBefore = new ArrayDeque<>();
    private PortListener door;
    private int slotsInUse;
    private double memoryInUse;
    private boolean up = true;
    private double startedAt = Double.NaN;
    private double slow = 1;
    private int stalls;
    private int silences;
    private int cuts;
    private double failing;
    private double reportDelay;
    private int lives;

    WorkerModel(
            int number,
            String name,
            Scenario.WorkerGroup group,
            Timeline timeline,
            Scenario.PlatformTerms terms,
            SeededRandom chance,
            EndpointRegistry registry,
            EventListener witness) {
        this.number = number;
        this.name = name;
        this.group = group;
        this.timeline = timeline;
        this.terms = terms;
        this.chance = chance;
        this.registry = registry;
        this.witness = witness;
    }

    public void door(PortListener newDoor) {
        door = newDoor;
    }

    // ---- what dispatchers do to it

    /** False while its process is down: connections are refused. */
    public boolean isUp() {
        return up;
    }

    /** A launch's last byte has come. */
    public void arrive(WorkerAttempt launch) {
        witness.arrived(launch, this);
        if (cuts > 0) {
            launch.kept = true;
            untold.add(launch);
            return;
        }
        if (tips(launch.work)) {
            witness.fell(this);
            end(launch, AttemptEnding.BROKEN);
            crash();
            int life = lives;
            timeline.after(
                    FALL,
                    () -> {
                        if (life == lives) {
                            start();
                        }
                    });
            return;
        }
        if (failing > 0
                && chance.once(SeededRandom.Purpose.FAILURE, launch.submission, number) < failing) {
            int life = lives;
            timeline.after(
                    ERROR_TIME,
                    () -> {
                        if (life == lives && !launch.ended) {
                            end(launch, AttemptEnding.FAILED);
                        }
                    });
            return;
        }
        if ((waiting.size() >= group.queue() && !mayBegin(launch))
                || memoryInUse + launch.memory > group.memory()) {
            end(launch, AttemptEnding.TURNED_AWAY);
            return;
        }
        memoryInUse += launch.memory;
        waiting.addLast(launch);
        beginNext();
    }

    /**
     * Its connection was closed by the other side: what waits is forgotten, what runs goes on
     * unheard.
     */
    public void dropped(WorkerAttempt launch) {
        launch.dropped = true;
        if (!launch.ended && waiting.remove(launch)) {
            memoryInUse -= launch.memory;
            launch.ended = true;
            beginNext();
        }
    }

    // ---- its work

    private boolean mayBegin(WorkerAttempt launch) {
        return waiting.isEmpty()
                && slotsInUse + Math.min(launch.slots, group.slots()) <= group.slots();
    }

    private void beginNext() {
        while (!waiting.isEmpty() && stalls == 0) {
            WorkerAttempt next = waiting.peekFirst();
            int need = Math.min(next.slots, group.slots());
            if (slotsInUse + need > group.slots()) {
                return;
            }
            waiting.pollFirst();
            slotsInUse += need;
            noteFree();
            running.add(next);
            next.startedAt = timeline.now();
            next.since = next.startedAt;
            // The warmth of the start counts for the whole job, as if it were more work.
            next.remaining = next.work / warmth(next.startedAt);
            witness.began(next, this);
            if (terms.tellsStart()) {
                speak(next, next.reply::started);
            }
            plan(next);
            if (terms.progressEvery() > 0) {
                progress(next, next.remaining);
            }
        }
    }

    private double pace() {
        return stalls > 0 ? 0 : group.speed() * slow;
    }

    private void plan(WorkerAttempt launch) {
        double pace = pace();
        int plan = ++launch.plan;
        if (pace > 0) {
            timeline.after(
                    launch.remaining / pace,
                    () -> {
                        if (plan == launch.plan && !launch.ended) {
                            finish(launch);
                        }
                    });
        }
    }

    private void finish(WorkerAttempt launch) {
        running.remove(launch);
        slotsInUse -= Math.min(launch.slots, group.slots());
        memoryInUse -= launch.memory;
        noteFree();
        end(launch, AttemptEnding.DONE);
        beginNext();
    }

    private void progress(WorkerAttempt launch, double whole) {
        timeline.after(
                terms.progressEvery(),
                () -> {
                    if (!launch.ended && !launch.dropped) {
                        double left =
                                Math.max(
                                        0,
                                        launch.remaining
                                                - (timeline.now() - launch.since) * pace());
                        speak(launch, () -> launch.reply.progressed(1 - left / whole));
                        progress(launch, whole);
                    }
                });
    }

    /** What runs goes on at the new pace. */
    private void repaced(Runnable change) {
        double before = pace();
        change.run();
        double now = timeline.now();
        for (WorkerAttempt launch : running) {
            launch.remaining = Math.max(0, launch.remaining - (now - launch.since) * before);
            launch.since = now;
            plan(launch);
        }
        beginNext();
    }

    private void end(WorkerAttempt launch, AttemptEnding ending) {
        launch.ended = true;
        boolean heard = ending == AttemptEnding.BROKEN || (silences == 0 && cuts == 0);
        witness.ended(launch, this, ending, heard && !launch.dropped);
        double free = reportedFree();
        speak(launch, () -> launch.reply.ended(ending, free));
    }

    private void speak(WorkerAttempt launch, Runnable word) {
        if (launch.dropped) {
            return;
        }
        if (silences > 0 || cuts > 0) {
            if (!launch.kept) {
                launch.kept = true;
                untold.add(launch);
            }
            return;
        }
        if (!launch.kept) {
            word.run();
        }
    }

    /** Connections on which something went unsaid are of no more use to anyone. */
    private void breakUntold() {
        List<WorkerAttempt> broken = new ArrayList<>(untold);
        untold.clear();
        for (WorkerAttempt launch : broken) {
            if (!launch.dropped) {
                // Whatever becomes of the job, its connection ends here.
                launch.dropped = true;
                witness.ended(launch, this, AttemptEnding.BROKEN, true);
                launch.reply.ended(AttemptEnding.BROKEN, Double.NaN);
            }
        }
    }

    // ---- warmth

    /** The part of its capacity it has, from coldShare at its start to 1. */
    public double warmth(double at) {
        double age = at - startedAt;
        if (!(age < group.coldFor())) {
            return 1;
        }
        return group.coldShare() + (1 - group.coldShare()) * Math.max(0, age) / group.coldFor();
    }

    private boolean tips(double work) {
        double now = timeline.now();
        double from = now - group.tipWindow();
        double warm = warmth(from);
        if (warm >= 1) {
            return false;
        }
        cameCold.addLast(new double[] {now, work});
        while (cameCold.peekFirst()[0] <= from) {
            cameCold.pollFirst();
        }
        double sum = cameCold.stream().mapToDouble(entry -> entry[1]).sum();
        double most =
                group.tipMultiple() * warm * group.speed() * group.slots() * group.tipWindow();
        if (group.tipRequest() > 0) {
            most += (2 * Math.sqrt(most / group.tipRequest()) + 2) * group.tipRequest();
        }
        return sum > most;
    }

    // ---- reports

    private void noteFree() {
        if (terms.reportLag() >= 0) {
            freeBefore.addLast(new double[] {timeline.now(), group.slots() - slotsInUse});
        }
    }

    /** Free slots as they were some time ago. */
    private double reportedFree() {
        if (terms.reportLag() < 0) {
            return Double.NaN;
        }
        double as = timeline.now() - terms.reportLag() - reportDelay;
        double free = group.slots();
        while (freeBefore.size() > 1 && freeBefore.peekFirst()[0] <= as) {
            free = freeBefore.pollFirst()[1];
        }
        if (!freeBefore.isEmpty() && freeBefore.peekFirst()[0] <= as) {
            free = freeBefore.peekFirst()[1];
        }
        return free;
    }

    // ---- faults

    void failing(double part) {
        failing = Math.max(0, Math.min(1, failing + part));
    }

    void stalled(boolean begins) {
        repaced(() -> stalls += begins ? 1 : -1);
    }

    void slowed(double factor) {
        repaced(() -> slow *= factor);
    }

    void reportsLater(double by) {
        reportDelay += by;
    }

    void silent(boolean begins) {
        silences += begins ? 1 : -1;
        if (silences == 0 && cuts == 0) {
            breakUntold();
        }
    }

    void cut(boolean begins) {
        cuts += begins ? 1 : -1;
        if (cuts == 0 && silences == 0) {
            breakUntold();
        }
    }

    /** Told draining now; it ends when it is empty, but not before all have had time to hear it. */
    void drain() {
        registry.tell(this, EndpointRegistry.State.DRAINING, startedAt);
        int life = lives;
        timeline.after(terms.listLag() + terms.grace(), () -> endIfEmpty(life));
    }

    private void endIfEmpty(int life) {
        if (life != lives) {
            return;
        }
        if (running.isEmpty() && waiting.isEmpty()) {
            crash();
        } else {
            timeline.after(EndpointRegistry.LOOK, () -> endIfEmpty(life));
        }
    }

    /** The process ends with all it holds. */
    void crash() {
        lives++;
        up = false;
        registry.tell(this, EndpointRegistry.State.GONE, startedAt);
        List<WorkerAttempt> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        slotsInUse = 0;
        memoryInUse = 0;
        cameCold.clear();
        if (door != null) {
            door.closed(this);
        }
        lost.forEach(launch -> end(launch, AttemptEnding.BROKEN));
        breakUntold();
    }

    /** A new process, cold. */
    void start() {
        if (up) {
            crash();
        }
        lives++;
        up = true;
        startedAt = timeline.now();
        if (door != null) {
            door.onOpened(this);
        }
        registry.tell(this, EndpointRegistry.State.READY, startedAt);
    }

    // ---- what those see who see all

    public int running() {
        return running.size();
    }

    public int waiting() {
        return waiting.size();
    }

    /** The part of launches that end in an error now. */
    public double failingPart() {
        return failing;
    }

    /** When a job that came now would be done; infinite where it would not be. */
    public double doneAt(double work) {
        double now = timeline.now();
        double pace = pace() * warmth(now);
        if (!up || cuts > 0 || silences > 0 || !(pace > 0) || waiting.size() >= group.queue()) {
            return Double.POSITIVE_INFINITY;
        }
        double ahead = 0;
        for (WorkerAttempt launch : waiting) {
            ahead += launch.work;
        }
        for (WorkerAttempt launch : running) {
            ahead += Math.max(0, launch.remaining - (now - launch.since) * pace());
        }
        double wait = slotsInUse < group.slots() && waiting.isEmpty() ? 0 : ahead / group.slots();
        return now + (wait + work) / pace;
    }
}
