package org.radishspur.replication.raft;

/**
 * Estimates how long the disk takes for a write, from the slowest of the last few.
 */
final class WriteTime {
    private static final double KEPT = 0.7;

    private final long longestMillis;
    private long millis;

    /**
     * Creates an estimate for a disk that hasn't written yet.
     *
     * @param longestMillis the bound of the estimate, in milliseconds.
     */
    WriteTime(long longestMillis) {
        this.longestMillis = longestMillis;
    }

    void learn(long taken) {
        millis = Math.min(longestMillis, Math.max(taken, (long) (KEPT * millis)));
    }

    long millis() {
        return millis;
    }
}
