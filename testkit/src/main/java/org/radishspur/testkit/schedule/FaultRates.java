package org.radishspur.testkit.schedule;

/**
 * Says how often each fault strikes.
 *
 * @param messageLoss the share of messages that are lost.
 * @param messageDuplication the share of messages that arrive twice.
 * @param maximumDelayMillis how long a message may take.
 * @param maximumWriteMillis how long a write may take.
 * @param crash the chance of a crash in each fault round.
 * @param freeze the chance of a freeze in each fault round.
 * @param partition the chance of a cut, perhaps in one direction only, in each fault round.
 * @param diskLoss the chance that a crashed replica has lost its disk.
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
    /** Every fault, often. */
    public static final FaultRates HARSH = new FaultRates(0.08, 0.05, 60, 30, 0.35, 0.25, 0.35, 0.15);
}
