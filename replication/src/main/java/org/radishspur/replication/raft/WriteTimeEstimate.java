package org.radishspur.replication.raft;

/**
 * Estimates how long the disk takes for a write, from the slowest of the last few.
 */
final class WriteTimeEstimate {
    private static final double DECAY_PER_WRITE = 0.7;

    private final long maximumMillis;
    private long millis;

    /**
     * Creates an estimate for a disk that hasn't written yet.
     *
     * @param longestMillis the bound of the estimate, in milliseconds.
     */
    WriteTimeEstimate(long longestMillis) {
        this.maximumMillis = longestMillis;
    }

    void record(long taken) {
        millis = Math.min(maximumMillis, Math.max(taken, (long) (DECAY_PER_WRITE * millis)));
    }

    long millis() {
        return millis;
    }
}
