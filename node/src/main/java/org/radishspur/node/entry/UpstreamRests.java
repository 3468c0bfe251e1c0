package org.radishspur.node.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.slot.UpstreamRest;

/**
 * Records which upstreams have asked this entry to send them nothing for some time. A new run of an upstream has asked for
 * nothing.
 */
final class UpstreamRests {
    private final Map<String, Long> untilByRun = new HashMap<>();

    /** Records that an upstream asks for a rest from now on; an earlier one that ends later holds on. */
    void record(String run, long millis, long now) {
        if (millis > 0) {
            untilByRun.merge(run, now + millis, Math::max);
        }
    }

    boolean isResting(String run, long now) {
        return !untilByRun.isEmpty() && untilByRun.getOrDefault(run, Long.MIN_VALUE) > now;
    }

    /** Returns the rests that haven't ended, with the time that is left of each. */
    List<UpstreamRest> current(long now) {
        if (untilByRun.isEmpty()) {
            return List.of();
        }
        untilByRun.values().removeIf(until -> until <= now);
        return untilByRun.entrySet().stream()
                .map(each -> new UpstreamRest(each.getKey().hashCode(), each.getValue() - now))
                .toList();
    }
}
