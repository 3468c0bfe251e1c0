package org.radishspur.node.entry;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.rollout.UpstreamTimes;
import org.radishspur.node.entry.VersionCounters.Outcome;

/**
 * Keeps what a pool gave to requests in the last half minute to minute, as a reference for a rollout that may begin.
 */
final class RecentOutcomes {
    private static final long PERIOD_MILLIS = 30_000;

    /** The number of response times that are kept; all of them are sent with each report on a rollout. */
    private static final int MAX_TIMES = 24;

    private final int[] upstreams = new int[MAX_TIMES];
    private final double[] millis = new double[MAX_TIMES];
    private final UpstreamTimes.Measure[] measures = new UpstreamTimes.Measure[MAX_TIMES];
    private Map<String, Map<Outcome, Long>> current = new HashMap<>();
    private Map<String, Map<Outcome, Long>> previous = new HashMap<>();
    private long currentSince = Long.MIN_VALUE;
    private int times;

    /** Adds what was given to one request on a route. */
    void add(String route, Outcome outcome, long now) {
        if (currentSince == Long.MIN_VALUE || now - currentSince >= PERIOD_MILLIS) {
            boolean adjacent = currentSince != Long.MIN_VALUE && now - currentSince < 2 * PERIOD_MILLIS;
            previous = adjacent ? current : new HashMap<>();
            current = new HashMap<>();
            currentSince = now;
        }
        current.computeIfAbsent(route, key -> new EnumMap<>(Outcome.class)).merge(outcome, 1L, Long::sum);
    }

    /** Adds a response time, in place of the oldest one if there are many. */
    void addTime(int upstream, UpstreamTimes.Measure measure, double time) {
        int index = times++ % MAX_TIMES;
        upstreams[index] = upstream;
        measures[index] = measure;
        millis[index] = time;
    }

    /** Returns the outcomes by route. */
    Map<String, Map<Outcome, Long>> byRoute() {
        Map<String, Map<Outcome, Long>> sum = new HashMap<>();
        for (Map<String, Map<Outcome, Long>> part : List.of(previous, current)) {
            part.forEach((route, counts) ->
                    counts.forEach((outcome, count) -> sum.computeIfAbsent(route, key -> new EnumMap<>(Outcome.class))
                            .merge(outcome, count, Long::sum)));
        }
        return sum;
    }

    /** Adds the response times to a comparison, as those of upstreams that aren't under trial. */
    void addTimesTo(UpstreamTimes target) {
        for (int index = 0; index < Math.min(times, MAX_TIMES); index++) {
            target.add(upstreams[index], false, measures[index], millis[index]);
        }
    }
}
