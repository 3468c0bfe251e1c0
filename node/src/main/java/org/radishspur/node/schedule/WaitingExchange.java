package org.radishspur.node.schedule;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;

import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.WaitingCounts;

/**
 * Encodes how many requests wait at this scheduler, and how urgent they are, for the reports to other schedulers, and
 * applies what these report. The traffic thread owns it.
 */
final class WaitingExchange {
    /** The maximum number of pools whose requests are reported, the first by name; a report stays below 300 bytes. */
    private static final int MAX_POOLS = 16;

    /** The part of the hash code of a pool's name that identifies it in a report. */
    private static final int DIGEST_MASK = 0xFFFF;

    /** The numbers of a pool before those of its classes: its digest and the number of classes. */
    private static final int HEAD_NUMBERS = 2;

    private static final int NUMBERS_PER_CLASS = 2;

    private final Map<Integer, int[]> published = new HashMap<>();
    private final Map<Integer, PoolDispatcher> pools = new TreeMap<>();

    /** Sets the pools by name, and the interval between reports. */
    void setPools(Map<String, PoolDispatcher> byName, long reportMillis) {
        pools.clear();
        byName.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .limit(MAX_POOLS)
                .forEach(each -> pools.put(each.getKey().hashCode() & DIGEST_MASK, each.getValue()));
        pools.values().forEach(dispatcher -> dispatcher.peerQueues().setReportMillis(reportMillis));
        published.keySet().retainAll(pools.keySet());
    }

    /** Returns the counts of all pools in which requests wait. */
    int[] all() {
        return encode((digest, counts) -> counts.length > 0);
    }

    /** Returns the counts that have changed since {@link #recordPublished()}. */
    int[] changes() {
        return encode((digest, counts) -> !Arrays.equals(counts, published.getOrDefault(digest, new int[0])));
    }

    /** Records that the peers have the current counts. */
    void recordPublished() {
        published.clear();
        pools.forEach((digest, dispatcher) ->
                published.put(digest, dispatcher.waiting().toArray()));
    }

    /** Applies the counts that another scheduler reports; those of other pools are zero in a full report. */
    void apply(String scheduler, int[] numbers, boolean full, long now) {
        for (PoolDispatcher dispatcher : pools.values()) {
            if (full) {
                dispatcher.peerQueues().record(scheduler, WaitingCounts.NONE, now);
            }
            dispatcher.peerQueues().confirm(scheduler, now);
        }
        for (int index = 0; index + HEAD_NUMBERS <= numbers.length; ) {
            PoolDispatcher dispatcher = pools.get(numbers[index]);
            int from = index + HEAD_NUMBERS;
            int classes = Math.max(0, numbers[index + 1]);
            int to = (int) Math.min(numbers.length, from + (long) classes * NUMBERS_PER_CLASS);
            if (dispatcher != null) {
                WaitingCounts counts = WaitingCounts.ofArray(Arrays.copyOfRange(numbers, from, to));
                dispatcher.peerQueues().record(scheduler, counts, now);
            }
            index = to;
        }
    }

    private int[] encode(BiPredicate<Integer, int[]> included) {
        Map<Integer, int[]> counts = new TreeMap<>();
        pools.forEach(
                (digest, dispatcher) -> counts.put(digest, dispatcher.waiting().toArray()));
        return counts.entrySet().stream()
                .filter(each -> included.test(each.getKey(), each.getValue()))
                .flatMapToInt(each -> IntStream.concat(
                        IntStream.of(each.getKey(), each.getValue().length / NUMBERS_PER_CLASS),
                        Arrays.stream(each.getValue())))
                .toArray();
    }
}
