package org.radishspur.decision.dispatch;

import java.util.Arrays;

/**
 * States when use was started, by slices of time up to the moment of the statement. A scheduler sends it with a total,
 * so that a receiver which has missed earlier totals can tell when the use between them was started.
 *
 * @param newestMillis the length of the newest slice, in milliseconds.
 * @param sliceMillis the length of each other slice, in milliseconds; 0 if nothing is stated.
 * @param amounts the use of each slice, the newest first, in the unit of the limit; slices without use at the end are
 *     left out.
 */
public record UseHistory(int newestMillis, int sliceMillis, int[] amounts) {
    /** States nothing. */
    public static final UseHistory UNKNOWN = new UseHistory(0, 0, new int[0]);

    /** Returns whether anything is stated; a statement may be that no use was started. */
    boolean isKnown() {
        return sliceMillis > 0;
    }

    /**
     * Returns the use of all slices.
     *
     * @return the sum, in the unit of the limit.
     */
    public long total() {
        return Arrays.stream(amounts).asLongStream().sum();
    }

    /**
     * Divides the latest use among the slices in which it was started. What exceeds all slices was started before them
     * and is left out.
     *
     * @param amount the amount of use that was started last.
     * @param parts receives the part of each slice, the newest first.
     */
    void divide(double amount, PartConsumer parts) {
        double remaining = amount;
        for (int slice = 0; slice < amounts.length && remaining > 0; slice++) {
            double part = Math.min(remaining, amounts[slice]);
            if (part > 0) {
                parts.accept(part, ageMillis(slice));
            }
            remaining -= part;
        }
    }

    /** Returns the slices that ended at most some time before the statement. */
    UseHistory newest(long maxAgeMillis) {
        int count = 0;
        while (count < amounts.length && ageMillis(count) <= maxAgeMillis) {
            count++;
        }
        return new UseHistory(newestMillis, sliceMillis, Arrays.copyOf(amounts, count));
    }

    private long ageMillis(int slice) {
        return slice == 0 ? 0 : newestMillis + (slice - 1L) * sliceMillis;
    }

    /** Receives the parts into which use is divided. */
    @FunctionalInterface
    interface PartConsumer {
        /**
         * Receives the part of one slice.
         *
         * @param part the use that was started in the slice.
         * @param ageMillis how long before the statement the slice ended, in milliseconds.
         */
        void accept(double part, long ageMillis);
    }
}
