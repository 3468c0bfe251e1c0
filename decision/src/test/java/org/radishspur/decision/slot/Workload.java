package org.radishspur.decision.slot;

import java.util.List;
import java.util.Random;

/**
 * Describes hosts, upstreams and requests that are played in virtual time.
 *
 * @param domains the failure domains.
 * @param schedulersPerDomain the schedulers in each of them.
 * @param entries the entries, spread over the failure domains.
 * @param upstreams the upstreams, spread over the failure domains.
 * @param slots how many requests an upstream runs at once.
 * @param fastEventMillis the time for an event at most upstreams, or for a plain call.
 * @param slowEventMillis the same at one upstream in three.
 * @param tiers the kinds of requests, the most urgent first.
 */
record Workload(
        int domains,
        int schedulersPerDomain,
        int entries,
        int upstreams,
        int slots,
        double fastEventMillis,
        double slowEventMillis,
        List<Tier> tiers) {

    /** Model requests at ninety-one entries of five failure domains, with one engine in three 4.4 times as slow. */
    static final Workload STREAMS = new Workload(
            5,
            1,
            91,
            37,
            6,
            9.7,
            42.6,
            List.of(
                    new Tier(0.5, 30, 3_720, 400, 8_000),
                    new Tier(0.22, 13, 2_890, 300, 4_000),
                    new Tier(0.28, 43, 1_110, 250, 8_000)));

    /** Short plain calls at sixty-one entries of three failure domains, for which a few upstreams are shared by all. */
    static final Workload PLAIN_CALLS = new Workload(
            3, 2, 61, 5, 6, 61, 61, List.of(new Tier(0.8, 0, 0, 315, 3_000), new Tier(0.2, 0, 0, 314, 3_000)));

    int schedulers() {
        return domains * schedulersPerDomain;
    }

    int tierOf(double draw) {
        int tier = 0;
        for (double left = draw - tiers.get(0).share(); left >= 0 && tier < tiers.size() - 1; ) {
            tier++;
            left -= tiers.get(tier).share();
        }
        return tier;
    }

    /**
     * Describes one kind of request.
     *
     * @param share its share of all requests.
     * @param events the usual length of its answers, 0 for a plain call.
     * @param tokens the usual length of its prompts.
     * @param targetMillis until when the first byte has its full value.
     * @param deadlineMillis how long callers wait.
     */
    record Tier(double share, double events, double tokens, long targetMillis, long deadlineMillis) {
        double drawEvents(Random random) {
            return events == 0 ? 0 : Math.max(1, events * Math.exp(random.nextGaussian() * 0.9 - 0.4));
        }

        double drawTokens(Random random) {
            return tokens * Math.exp(random.nextGaussian() * 0.7 - 0.25);
        }
    }
}
