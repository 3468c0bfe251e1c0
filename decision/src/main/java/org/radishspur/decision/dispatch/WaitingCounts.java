package org.radishspur.decision.dispatch;

import java.util.Collection;
import java.util.TreeMap;

/**
 * Counts the requests of one pool that wait for a slot at one scheduler, by urgency.
 *
 * <p>Only a few classes are kept and large counts are rounded up, so that a report of them stays small and seldom
 * changes.
 */
public final class WaitingCounts {
    /** Represents a queue in which no request waits. */
    public static final WaitingCounts NONE = new WaitingCounts(new int[0]);

    /** The maximum number of classes; less urgent ones are counted in the last class. */
    private static final int MAX_CLASSES = 6;

    /** The number of ranks, and of tiers, that are told apart; a class then fits in seven bits. */
    private static final int LEVELS = 8;

    /** The maximum count; more waiting requests than that need no other decision. */
    private static final int MAX_COUNT = 1 << 10;

    private final int[] numbers;

    private WaitingCounts(int[] numbers) {
        this.numbers = numbers;
    }

    /**
     * Counts waiting requests.
     *
     * @param waiting the requests.
     * @return the counts.
     */
    public static WaitingCounts of(Collection<QueuedRequest> waiting) {
        TreeMap<Integer, Integer> counts = new TreeMap<>();
        waiting.forEach(queued -> counts.merge(urgencyOf(queued), 1, Integer::sum));
        while (counts.size() > MAX_CLASSES) {
            int merged = counts.pollLastEntry().getValue();
            counts.merge(counts.lastKey(), merged, Integer::sum);
        }
        int[] numbers = new int[counts.size() * 2];
        int index = 0;
        for (var each : counts.entrySet()) {
            numbers[index++] = each.getKey();
            numbers[index++] = rounded(each.getValue());
        }
        return new WaitingCounts(numbers);
    }

    /**
     * Creates counts from the numbers of {@link #toArray()}.
     *
     * @param numbers the numbers; a last one without its count is ignored.
     * @return the counts.
     */
    public static WaitingCounts ofArray(int... numbers) {
        return new WaitingCounts(numbers.clone());
    }

    /**
     * Returns the counts as numbers.
     *
     * @return the urgency and the count of each class, one class after the other, the most urgent first.
     */
    public int[] toArray() {
        return numbers.clone();
    }

    boolean isEmpty() {
        return numbers.length == 0;
    }

    /** Returns how many of the requests are more urgent than another one. */
    int moreUrgentThan(QueuedRequest queued) {
        int urgency = urgencyOf(queued);
        int count = 0;
        for (int index = 0; index + 1 < numbers.length; index += 2) {
            count += numbers[index] < urgency ? Math.max(0, Math.min(MAX_COUNT, numbers[index + 1])) : 0;
        }
        return count;
    }

    /** Returns a number that orders requests as queues do: late ones last, then by rank, then by tier. */
    static int urgencyOf(QueuedRequest queued) {
        int late = queued.isLate() ? 1 : 0;
        return (late * LEVELS + level(queued.rank())) * LEVELS
                + level(queued.requirements().tier());
    }

    private static int level(int value) {
        return Math.max(0, Math.min(LEVELS - 1, value));
    }

    /** Returns the next power of two, so that each request that comes or goes doesn't change the report. */
    private static int rounded(int count) {
        return Math.min(MAX_COUNT, count == 1 ? 1 : Integer.highestOneBit(count - 1) * 2);
    }
}
