package org.radishspur.decision.dispatch;

import java.util.List;
import java.util.function.Predicate;

/** Removes upstreams to avoid from those that may run a request. */
enum UpstreamFilter {
    /** The only instance; the rule has no state. */
    INSTANCE;

    /** Removes the upstreams to avoid, unless that would leave none. */
    void removeUnlessAll(List<UpstreamLoad> upstreams, Predicate<UpstreamLoad> avoided) {
        if (!upstreams.stream().allMatch(avoided)) {
            upstreams.removeIf(avoided);
        }
    }
}
