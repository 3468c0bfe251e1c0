package org.radishspur.decision.crash;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which signatures were answered lately, and when each pool has answered any request. Both are evidence on
 * upstreams that end afterwards.
 */
final class AnswerMemory {
    /** The number of answers of a pool that are remembered. */
    static final int ANSWERS_PER_POOL = 10;

    /** How long a signature counts as answered, in milliseconds. */
    private static final long RETENTION_MILLIS = 600_000;

    /** The maximum number of signatures; the one that was answered least recently is forgotten first. */
    private static final int MAX_SIGNATURES = 4_000;

    private final Map<Long, Long> answeredAt = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_SIGNATURES;
        }
    };

    private final Map<Integer, long[]> answersByPool = new HashMap<>();

    void recordAnswer(List<Long> signatures, int pool, long now) {
        signatures.forEach(signature -> answeredAt.put(signature, now));
        long[] times = answersByPool.computeIfAbsent(pool, key -> noAnswers());
        System.arraycopy(times, 0, times, 1, ANSWERS_PER_POOL - 1);
        times[0] = now;
    }

    private static long[] noAnswers() {
        long[] times = new long[ANSWERS_PER_POOL];
        Arrays.fill(times, Long.MIN_VALUE);
        return times;
    }

    boolean isAnswered(long signature, long now) {
        Long at = answeredAt.get(signature);
        return at != null && now - at < RETENTION_MILLIS;
    }

    /** Returns whether a pool has given some answers after a time; at most {@link #ANSWERS_PER_POOL} can be asked for. */
    boolean hasAnsweredSince(int pool, int answers, long time) {
        long[] times = answersByPool.get(pool);
        return times != null && times[answers - 1] > time;
    }
}
