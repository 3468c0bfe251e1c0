package org.radishspur.node.supervise;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.radishspur.node.log.ComponentLog;

/**
 * Starts children in order, restarts a failed child after a delay that doubles with each recent failure, and reports
 * the failure to its own listener when a child fails too often. Supervisors are children themselves, so that they form
 * a tree; the listener of the root ends the process.
 */
public final class Supervisor implements Child {
    /** Doubled once for each failure in the window, so that the first restart waits twice this delay. */
    private static final long BASE_DELAY_MILLIS = 100;

    private static final long MAX_DELAY_MILLIS = 5_000;
    /** A child is restarted after at most this many failures within the window. */
    private static final int MAX_FAILURES = 8;

    private static final long FAILURE_WINDOW_MILLIS = 60_000;

    private final String name;
    private final Scheduler scheduler;
    private final LongSupplier clockMillis;
    private final List<SupervisedChild> children = new ArrayList<>();
    private Child.FailureListener parent = cause -> {};
    private boolean closed;

    /**
     * Creates a supervisor without children.
     *
     * @param name the name in log messages.
     * @param scheduler runs delayed restarts.
     * @param clockMillis the monotonic clock in milliseconds.
     */
    public Supervisor(String name, Scheduler scheduler, LongSupplier clockMillis) {
        this.name = name;
        this.scheduler = scheduler;
        this.clockMillis = clockMillis;
    }

    /**
     * Adds a child; it starts with the supervisor.
     *
     * @param childName the name of the child in log messages.
     * @param factory creates a new child for each start.
     * @return this supervisor.
     */
    public Supervisor supervise(String childName, Factory factory) {
        children.add(new SupervisedChild(childName, factory));
        return this;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void start(Child.FailureListener listener) {
        parent = listener;
        children.forEach(this::startChild);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void close() {
        closed = true;
        for (int index = children.size() - 1; index >= 0; index--) {
            closeQuietly(children.get(index));
        }
    }

    private void startChild(SupervisedChild supervised) {
        if (closed) {
            return;
        }
        Child child = supervised.factory.create();
        supervised.current = child;
        try {
            child.start(cause -> onFailure(supervised, child, cause));
        } catch (Exception exception) {
            // Netty throws checked exceptions that no method declares, such as BindException for an address in use.
            onFailure(supervised, child, exception);
        }
    }

    private synchronized void onFailure(SupervisedChild supervised, Child failed, Throwable cause) {
        if (closed || supervised.current != failed) {
            return;
        }
        closeQuietly(supervised);
        long now = clockMillis.getAsLong();
        supervised.failures.addLast(now);
        while (supervised.failures.peekFirst() < now - FAILURE_WINDOW_MILLIS) {
            supervised.failures.removeFirst();
        }
        if (supervised.failures.size() > MAX_FAILURES) {
            ComponentLog.SUPERVISOR.error(
                    name + " no longer restarts the repeatedly failed " + supervised.name + '.', cause);
            parent.onFailure(cause);
            return;
        }
        long delay = Math.min(MAX_DELAY_MILLIS, BASE_DELAY_MILLIS << supervised.failures.size());
        ComponentLog.SUPERVISOR.warn(
                name + " restarts " + supervised.name + " in " + delay + " ms: " + cause.getMessage() + '.');
        scheduler.schedule(() -> restart(supervised), delay);
    }

    private synchronized void restart(SupervisedChild supervised) {
        startChild(supervised);
    }

    private static void closeQuietly(SupervisedChild supervised) {
        Child child = supervised.current;
        supervised.current = null;
        if (child != null) {
            try {
                child.close();
            } catch (RuntimeException exception) {
                ComponentLog.SUPERVISOR.error("Closing " + supervised.name + " failed.", exception);
            }
        }
    }

    /**
     * Creates children.
     */
    public interface Factory {
        /**
         * Creates a child that has not been started.
         *
         * @return the child.
         */
        Child create();
    }

    /**
     * Runs actions after a delay.
     */
    public interface Scheduler {
        /**
         * Runs an action once.
         *
         * @param action the action.
         * @param delayMillis the delay in milliseconds.
         */
        void schedule(Runnable action, long delayMillis);

        /**
         * Runs actions on a thread of its own.
         */
        final class ThreadScheduler implements Scheduler, AutoCloseable {
            private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(action -> {
                Thread thread = new Thread(action, "supervisor");
                thread.setDaemon(true);
                return thread;
            });

            /** {@inheritDoc} */
            @Override
            public void schedule(Runnable action, long delayMillis) {
                executor.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
            }

            /** {@inheritDoc} */
            @Override
            public void close() {
                executor.shutdownNow();
            }
        }
    }

    /**
     * Holds the current instance of a child and the times of its recent failures, in milliseconds.
     */
    private static final class SupervisedChild {
        private final String name;
        private final Factory factory;
        private final Deque<Long> failures = new ArrayDeque<>();
        private Child current;

        SupervisedChild(String name, Factory factory) {
            this.name = name;
            this.factory = factory;
        }
    }
}
