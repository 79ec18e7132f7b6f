package wheelroute.kit.process;

import wheelroute.kit.model.Timeline;
import wheelroute.net.loop.EventLoop;

/**
 * Adapts the clock and the timers of an event loop to the model. Used on the event loop's thread.
 */
final class EventLoopTimeline implements Timeline {
    private final EventLoop loop;

    EventLoopTimeline(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public void schedule(double delay, Runnable task) {
        loop.schedule(Math.max(0, delay), task);
    }
}
