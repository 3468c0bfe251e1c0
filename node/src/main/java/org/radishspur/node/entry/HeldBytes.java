package org.radishspur.node.entry;

import org.radishspur.node.settings.PlatformProcessSettings.Memory;

/**
 * Counts all bytes that an entry holds for its callers against one budget: request bodies, and parts of responses that
 * wait for callers. The traffic thread owns it; other threads may call {@link #total()}.
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

    /**
     * The part that the budget takes of what the process may use beside its heap. Responses are held there, where code,
     * stacks, the buffers of sockets and the library's spare blocks take the rest.
     */
    private static final int PART_BESIDE_HEAP = 4;

    /** The part of the heap's budget that remains where the settings leave no memory beside the heap. */
    private static final int MIN_PART_OF_BUDGET = 4;

    private static final long UNLIMITED = Long.MAX_VALUE;

    private final long budget;
    private Runnable roomListener = () -> {};
    private volatile long total;

    /**
     * Creates an empty count.
     *
     * @param budget the maximum, in bytes.
     */
    HeldBytes(long budget) {
        this.budget = budget;
    }

    /**
     * Creates the count of a process.
     *
     * @param memory what is known of the memory of the process.
     * @param heapBytes the maximum size of the heap, in bytes.
     * @return the count, without a limit where readers aren't slow.
     */
    static HeldBytes of(Memory memory, long heapBytes) {
        if (!memory.slowReaders()) {
            return unlimited();
        }
        long ofHeap = heapBytes / PART_OF_HEAP;
        if (memory.processBytes() == 0) {
            return new HeldBytes(ofHeap);
        }
        long besideHeap = Math.max(0, memory.processBytes() - heapBytes) / PART_BESIDE_HEAP;
        // Where the heap may take all of the memory, small requests still have to be served.
        return new HeldBytes(Math.max(ofHeap / MIN_PART_OF_BUDGET, Math.min(ofHeap, besideHeap)));
    }

    /** Creates a count without a limit. */
    static HeldBytes unlimited() {
        return new HeldBytes(UNLIMITED);
    }

    /** Returns whether there is a limit. */
    boolean isLimited() {
        return budget < UNLIMITED;
    }

    long budget() {
        return budget;
    }

    long total() {
        return total;
    }

    /** Returns whether a use may take some more bytes. */
    boolean hasRoom(Use use, long bytes) {
        return bytes <= budget * use.share - total;
    }

    /** Sets what is run after bytes were given back. */
    void setRoomListener(Runnable listener) {
        roomListener = listener;
    }

    /** Creates a share that holds nothing yet. */
    Share share() {
        return new Share();
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
        private long bytes;

        private Share() {}

        long bytes() {
            return bytes;
        }

        /** Sets what the holder holds, within the part of a use, and returns whether there was room for it. */
        boolean trySet(long newBytes, Use use) {
            boolean fits = newBytes <= bytes || hasRoom(use, newBytes - bytes);
            if (fits) {
                set(newBytes);
            }
            return fits;
        }

        /** Sets what the holder holds. */
        void set(long newBytes) {
            long change = newBytes - bytes;
            bytes = newBytes;
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
