package org.radishspur.testkit.schedule;

/**
 * Sets how often each fault occurs; shares and probabilities are between 0 and 1.
 *
 * @param messageLoss the share of messages that are lost.
 * @param messageDuplication the share of messages that arrive twice.
 * @param maximumDelayMillis the upper bound of a message's delay, in milliseconds.
 * @param maximumWriteMillis the upper bound of a write's delay, in milliseconds.
 * @param crash the probability of a crash in each fault round.
 * @param freeze the probability that a host freezes in each fault round.
 * @param partition the probability of a network partition, perhaps in one direction only, in each fault round.
 * @param diskLoss the probability that a crashed replica has lost its disk.
 */
public record FaultRates(
        double messageLoss,
        double messageDuplication,
        int maximumDelayMillis,
        int maximumWriteMillis,
        double crash,
        double freeze,
        double partition,
        double diskLoss) {
    /** Rates at which every fault occurs often. */
    public static final FaultRates HARSH = new FaultRates(0.08, 0.05, 60, 30, 0.35, 0.25, 0.35, 0.15);
}
