package org.radishspur.decision.dispatch;

import org.radishspur.model.catalogue.Upstream;

/** Builds the upstreams and the requests that tests of a pool share. */
final class PoolFixture {
    private PoolFixture() {}

    /** Returns an upstream with four slots in failure domain a. */
    static Upstream upstream(String id) {
        return upstreamIn("a", id);
    }

    /** Returns an upstream with four slots. */
    static Upstream upstreamIn(String failureDomain, String id) {
        return new Upstream(id, 1, "pool", "10.0.0.1:80", failureDomain, "v1", 4, false, false);
    }

    /** Returns a request of no stated size that arrives at a time, may wait for 200 ms and has 3 s in all. */
    static QueuedRequest queued(long now) {
        return new QueuedRequest(
                "r",
                0,
                now,
                now + 200,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(0, 0, 0, now + 400, now + 3_000));
    }
}
