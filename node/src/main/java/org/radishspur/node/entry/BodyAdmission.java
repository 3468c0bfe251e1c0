package org.radishspur.node.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Lets requests with large bodies wait for memory, in the order of their arrival, while their connections aren't read.
 * The traffic thread owns it.
 */
final class BodyAdmission {
    /**
     * The maximum time for which a request waits for memory, in milliseconds. A caller gives up a request that isn't read
     * within a second; it can go to another entry if it is refused well before that.
     */
    static final long MAX_WAIT_MILLIS = 300;

    /** The maximum number of requests that wait. */
    private static final int MAX_WAITING = 32;

    private final EventLoop loop;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private boolean checkPending;

    BodyAdmission(EventLoop loop, HeldBytes held) {
        this.loop = loop;
        held.setRoomListener(this::onRoom);
    }

    /**
     * Lets a request wait, unless too many do.
     *
     * @param reservation reserves the memory if there is room for it.
     * @param onReserved run once the memory is reserved.
     * @param onTimeout run where it isn't in time.
     * @return the waiting request, empty where it may not wait.
     */
    Optional<Waiting> await(BooleanSupplier reservation, Runnable onReserved, Runnable onTimeout) {
        if (waiting.size() >= MAX_WAITING) {
            return Optional.empty();
        }
        Waiting request = new Waiting(reservation, onReserved);
        waiting.addLast(request);
        request.timer = loop.schedule(
                () -> {
                    request.cancel();
                    onTimeout.run();
                },
                MAX_WAIT_MILLIS,
                TimeUnit.MILLISECONDS);
        return Optional.of(request);
    }

    /** Checks the requests soon, in a task of its own, as the memory is given back in the middle of other work. */
    private void onRoom() {
        if (!waiting.isEmpty() && !checkPending) {
            checkPending = true;
            loop.execute(this::check);
        }
    }

    private void check() {
        checkPending = false;
        while (!waiting.isEmpty() && waiting.peekFirst().reservation.getAsBoolean()) {
            Waiting admitted = waiting.peekFirst();
            admitted.cancel();
            admitted.onReserved.run();
        }
    }

    /** A request that waits. */
    final class Waiting {
        private final BooleanSupplier reservation;
        private final Runnable onReserved;
        private ScheduledFuture<?> timer;

        private Waiting(BooleanSupplier reservation, Runnable onReserved) {
            this.reservation = reservation;
            this.onReserved = onReserved;
        }

        /** Ends the wait. */
        void cancel() {
            timer.cancel(false);
            waiting.remove(this);
            onRoom();
        }
    }
}
