package org.radishspur.node.control;

import java.util.Objects;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import org.radishspur.node.log.ComponentLog;
import org.radishspur.node.supervise.Child;
import org.radishspur.node.supervise.ProcessTerminator;

/**
 * Runs actions one after another on the control thread, the only thread that accesses control state.
 */
public final class ControlLoop implements AutoCloseable {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DefaultEventLoop loop;
    private final long startedAtNanos = System.nanoTime();
    private volatile Child.FailureListener listener = cause -> {};
    private boolean failed;

    /**
     * Creates the loop; its thread starts with the first action.
     */
    public ControlLoop() {
        // Loads the class while there is memory.
        Objects.requireNonNull(ProcessTerminator.INSTANCE);
        ThreadFactory factory = action -> new Thread(action, "control");
        loop = new DefaultEventLoop(factory);
    }

    /**
     * Sets the listener that is notified when an action throws. The control state may then be inconsistent, so that no
     * further action runs, and the process must end. It ends at once if an action throws an error.
     *
     * @param receiver the listener.
     */
    public void setFailureListener(Child.FailureListener receiver) {
        listener = receiver;
    }

    /**
     * Runs an action after those already submitted.
     *
     * @param action the action.
     */
    public void execute(Runnable action) {
        loop.execute(() -> run(action));
    }

    /**
     * Runs an action once after a delay.
     *
     * @param action the action.
     * @param delayMillis the delay in milliseconds.
     */
    public void schedule(Runnable action, long delayMillis) {
        loop.schedule(() -> run(action), delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs an action periodically, for the first time after one period.
     *
     * @param action the action.
     * @param periodMillis the time from one start to the next, in milliseconds.
     */
    public void repeat(Runnable action, long periodMillis) {
        loop.scheduleAtFixedRate(() -> run(action), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the time of the monotonic clock in milliseconds. The clock starts at one day, so that no point in time is
     * 0.
     *
     * @return the time.
     */
    public long nowMillis() {
        return TimeUnit.DAYS.toMillis(1) + (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the time of the monotonic clock in microseconds. The clock starts at one day, so that no point in time is
     * 0.
     *
     * @return the time.
     */
    public long nowMicros() {
        return TimeUnit.DAYS.toMicros(1) + (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run(Runnable action) {
        if (failed) {
            return;
        }
        try {
            action.run();
        } catch (RuntimeException failure) {
            failed = true;
            try {
                ComponentLog.CONTROL.error("An action on the control thread failed.", failure);
            } finally {
                listener.onFailure(failure);
            }
        } catch (Error error) {
            ProcessTerminator.INSTANCE.uncaughtException(Thread.currentThread(), error);
        }
    }
}
