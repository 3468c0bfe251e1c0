package org.radishspur.replication.state;

/**
 * Holds the retention times of the control state. All replicas of a cluster must use the same values, or their states
 * would differ.
 *
 * @param claimKeepMillis how long the key of a request is kept after its claim last changed, in milliseconds.
 * @param suspectKeepMillis how long a crash suspect is kept after its latest report, in milliseconds.
 */
public record StateOptions(long claimKeepMillis, long suspectKeepMillis) {
    /** The default retention times: one day for keys, ten minutes for crash suspects. */
    public static final StateOptions DEFAULTS = new StateOptions(24L * 60 * 60 * 1000, 10L * 60 * 1000);
}
