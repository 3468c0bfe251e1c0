package org.radishspur.node.group;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the bodies of operators' calls that are received or being answered at the same time; further calls wait in their order. It
 * is confined to the transport thread.
 */
final class CallBudget {
    private final long limitBytes;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private long usedBytes;

    CallBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Takes a part of the budget at once or as soon as it is free; a body alone may be larger than the budget. */
    void take(long bytes, Runnable onTaken) {
        waiting.addLast(new Waiting(bytes, onTaken));
        serve();
    }

    /** Returns a part of the budget that was taken. */
    void release(long bytes) {
        usedBytes -= bytes;
        serve();
    }

    private void serve() {
        while (!waiting.isEmpty()
                && (usedBytes == 0 || usedBytes + waiting.peekFirst().bytes() <= limitBytes)) {
            Waiting next = waiting.removeFirst();
            usedBytes += next.bytes();
            next.onTaken().run();
        }
    }

    /**
     * A call that waits for its part of the budget.
     *
     * @param bytes the size of its body.
     * @param onTaken is run once it has the part.
     */
    private record Waiting(long bytes, Runnable onTaken) {}
}
