package org.radishspur.node.entry;

import org.radishspur.node.settings.PlatformProcessSettings.Memory;

/**
 * Counts the bytes that an entry holds for its callers against one budget: request bodies and, where callers and upstreams
 * may read slowly, what else each request holds and parts of responses that wait for callers. The traffic thread owns it;
 * other threads may call {@link #total()}.
 */
final class HeldBytes {
    /** The maximum size of one read of a response, in bytes, where the budget is limited. */
    static final int READ_BYTES = 8 << 10;

    /**
     * What a request holds beside its body, in bytes: its head, its objects, and one read of its response, so that each
     * response can go on whatever others hold.
     */
    static final int REQUEST_BYTES = (4 << 10) + READ_BYTES;

    /**
     * The part of the heap that the budget takes. Bodies are held on the heap, where the entry's own state and the free
     * room that the collector needs take the rest.
     */
    private static final int PART_OF_HEAP = 4;

    /** The part where only bodies are counted, as responses don't wait then. */
    private static final int PART_OF_HEAP_FOR_BODIES = 2;

    /**
     * The part that the budget takes of what the process may use beside its heap. Responses are held there, where code,
     * stacks, the buffers of sockets and the library's spare blocks take the rest.
     */
    private static final int PART_BESIDE_HEAP = 4;

    /** The part of the heap's budget that remains where the settings leave no memory beside the heap. */
    private static final int MIN_PART_OF_BUDGET = 4;

    private final long budget;
    private final boolean limited;
    private Runnable roomListener = () -> {};
    private volatile long total;

    /**
     * Creates an empty count.
     *
     * @param budget the maximum, in bytes.
     * @param limited whether all that is held is counted, not bodies only.
     */
    HeldBytes(long budget, boolean limited) {
        this.budget = budget;
        this.limited = limited;
    }

    /**
     * Creates the count of a process.
     *
     * @param memory what is known of the memory of the process.
     * @param heapBytes the maximum size of the heap, in bytes.
     * @return the count, of bodies only where readers aren't slow.
     */
    static HeldBytes of(Memory memory, long heapBytes) {
        long ofHeap = heapBytes / (memory.slowReaders() ? PART_OF_HEAP : PART_OF_HEAP_FOR_BODIES);
        if (memory.processBytes() == 0) {
            return new HeldBytes(ofHeap, memory.slowReaders());
        }
        long besideHeap = Math.max(0, memory.processBytes() - heapBytes) / PART_BESIDE_HEAP;
        // Where the heap may take all of the memory, small requests still have to be served.
        long budget = Math.max(ofHeap / MIN_PART_OF_BUDGET, Math.min(ofHeap, besideHeap));
        return new HeldBytes(budget, memory.slowReaders());
    }

    /** Returns whether all that is held is limited, not bodies only, as callers and upstreams may read slowly. */
    boolean isLimited() {
        return limited;
    }

    long budget() {
        return budget;
    }

    long total() {
        return total;
    }

    /** Returns what a request holds beside its body as far as it is counted, in bytes. */
    int requestBytes() {
        return limited ? REQUEST_BYTES : 0;
    }

    /** Returns whether a use may take some more bytes; always for responses that aren't counted. */
    boolean hasRoom(Use use, long bytes) {
        return use == Use.READ_AHEAD && !limited || bytes <= budget * use.share - total;
    }

    /** Sets what is run after bytes were given back. */
    void setRoomListener(Runnable listener) {
        roomListener = listener;
    }

    /** Creates a share for a response, which holds nothing yet. */
    Share share() {
        return new Share(limited);
    }

    /** Creates a share for bodies, which are always counted; it holds nothing yet. */
    Share bodyShare() {
        return new Share(true);
    }

    /** Lists the uses of the budget, each of which leaves some of it to those below. */
    enum Use {
        /** Parts of responses that are read before their callers take them, so that upstreams needn't wait. */
        READ_AHEAD(0.5),
        /** Bodies so large that they are read piece by piece. */
        LARGE_BODY(0.75),
        /** All other requests. */
        REQUEST(1.0);

        private final double share;

        Use(double share) {
            this.share = share;
        }
    }

    /** What one holder holds. */
    final class Share implements AutoCloseable {
        private final boolean counted;
        private long bytes;

        private Share(boolean counted) {
            this.counted = counted;
        }

        long bytes() {
            return bytes;
        }

        /** Sets what the holder holds, within the part of a use, and returns whether there was room for it. */
        boolean trySet(long newBytes, Use use) {
            boolean fits = !counted || newBytes <= bytes || hasRoom(use, newBytes - bytes);
            if (fits) {
                set(newBytes);
            }
            return fits;
        }

        /** Sets what the holder holds. */
        void set(long newBytes) {
            long change = newBytes - bytes;
            bytes = newBytes;
            if (!counted) {
                return;
            }
            total += change;
            if (change < 0) {
                roomListener.run();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void close() {
            set(0);
        }
    }
}
