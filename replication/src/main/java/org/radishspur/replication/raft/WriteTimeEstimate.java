package org.radishspur.replication.raft;

/**
 * Estimates how long a disk write takes. The estimate is the slowest recent write and decays with each faster one.
 */
final class WriteTimeEstimate {
    /** The share of the estimate that remains after a faster write. */
    private static final double DECAY_PER_WRITE = 0.7;

    private final long maximumMillis;
    private long millis;

    /**
     * Creates an estimate of 0 for a disk that has not written yet.
     *
     * @param maximumMillis the upper bound of the estimate, in milliseconds.
     */
    WriteTimeEstimate(long maximumMillis) {
        this.maximumMillis = maximumMillis;
    }

    void recordWrite(long writeMillis) {
        millis = Math.min(maximumMillis, Math.max(writeMillis, (long) (DECAY_PER_WRITE * millis)));
    }

    long millis() {
        return millis;
    }
}
