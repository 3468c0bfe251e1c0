package org.radishspur.decision.dispatch;

import java.util.List;
import java.util.function.Predicate;

/** Passes over upstreams that are to be used only where there is no other. */
enum LastResort {
    /** The only instance; the rule has no state. */
    INSTANCE;

    /** Removes the upstreams of last resort, unless all are. */
    void remove(List<UpstreamLoad> upstreams, Predicate<UpstreamLoad> lastResort) {
        if (!upstreams.stream().allMatch(lastResort)) {
            upstreams.removeIf(lastResort);
        }
    }
}
