package org.radishspur.decision.slot;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Describes the entries, schedulers, upstreams and requests of a {@link SchedulerSimulation}.
 *
 * @param domains the number of failure domains.
 * @param schedulersPerDomain the number of schedulers in each failure domain.
 * @param entries the number of entries, spread over the failure domains.
 * @param upstreams the number of upstreams, spread over the failure domains.
 * @param slots the number of requests that an upstream runs concurrently.
 * @param fastEventMillis the time for one event, or for a plain call, at most upstreams, in milliseconds.
 * @param slowEventMillis the same at one upstream in three, in milliseconds.
 * @param tiers the kinds of requests, the most urgent first.
 * @param demand how the requests are spread over the failure domains.
 */
record Workload(
        int domains,
        int schedulersPerDomain,
        int entries,
        int upstreams,
        int slots,
        double fastEventMillis,
        double slowEventMillis,
        List<Tier> tiers,
        Demand demand) {

    /**
     * Model requests at ninety-one entries in five failure domains; one engine in three is 4.4 times as slow as the
     * others.
     */
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

    /** Short plain calls at sixty-one entries in three failure domains, which share five upstreams. */
    static final Workload PLAIN_CALLS = new Workload(
            3, 2, 61, 5, 6, 61, 61, List.of(new Tier(0.8, 0, 0, 315, 3_000), new Tier(0.2, 0, 0, 314, 3_000)));

    /**
     * Long prompts beside streams, at engines that read prompts in chunks between the steps of the streams; a long prompt
     * makes the streams at a slow engine pause for longer than their callers accept.
     */
    static final Workload LONG_PROMPTS = new Workload(
            3,
            2,
            91,
            98,
            4,
            12.5,
            55.2,
            List.of(
                    new Tier(0.35, 30, 3_720, 1_027, 12_000, 300),
                    new Tier(0.27, 13, 2_890, 1_519, 6_000, 300),
                    new Tier(0.38, 43, 1_110, 1_511, 12_000, 300)));

    /**
     * The same requests at seventy-seven entries, most of them in one failure domain, whose demand rises and falls nearly
     * in step.
     */
    static final Workload UNEVEN_DOMAINS = new Workload(
            3, 2, 77, 98, 4, 12.5, 55.2, LONG_PROMPTS.tiers(), new Demand(List.of(0.41, 0.30, 0.29), 0.55, 6_000));

    Workload(
            int domains,
            int schedulersPerDomain,
            int entries,
            int upstreams,
            int slots,
            double fastEventMillis,
            double slowEventMillis,
            List<Tier> tiers) {
        this(
                domains,
                schedulersPerDomain,
                entries,
                upstreams,
                slots,
                fastEventMillis,
                slowEventMillis,
                tiers,
                Demand.EVEN);
    }

    /** Returns whether engines read prompts in chunks; otherwise a prompt doesn't delay the streams beside it. */
    boolean readsInChunks() {
        return tiers.stream().anyMatch(tier -> tier.maxPauseMillis() > 0);
    }

    int schedulers() {
        return domains * schedulersPerDomain;
    }

    int tierOf(double draw) {
        int tier = 0;
        for (double remaining = draw - tiers.get(0).share(); remaining >= 0 && tier < tiers.size() - 1; ) {
            tier++;
            remaining -= tiers.get(tier).share();
        }
        return tier;
    }

    /** Draws the entry of a request that arrives at a time. */
    int drawEntry(Random random, long now) {
        int entry = random.nextInt(entries);
        return demand.shares().isEmpty()
                ? entry
                : entry / domains * domains % (entries - domains) + demand.drawDomain(random, now);
    }

    /**
     * Describes how the requests are spread over the failure domains.
     *
     * @param shares the mean share of each failure domain; empty if the entries have equal shares.
     * @param swing the share by which the demand of each failure domain rises and falls.
     * @param periodMillis the time from one peak of the demand to the next, in milliseconds.
     */
    record Demand(List<Double> shares, double swing, long periodMillis) {
        /** Represents equal and steady demand. */
        static final Demand EVEN = new Demand(List.of(), 0, 1);

        /** The part of the period by which the peak of each failure domain follows that of the one before. */
        private static final double LAG = 0.06;

        /** Returns the demand at a time, as a multiple of the mean. */
        double at(long now) {
            return shares.isEmpty()
                    ? 1
                    : IntStream.range(0, shares.size())
                            .mapToDouble(domain -> of(domain, now))
                            .sum();
        }

        private double of(int domain, long now) {
            return shares.get(domain)
                    * (1 + swing * Math.sin(2 * Math.PI * ((double) now / periodMillis - LAG * domain)));
        }

        private int drawDomain(Random random, long now) {
            int domain = 0;
            double remaining = random.nextDouble() * at(now) - of(0, now);
            while (remaining >= 0 && domain < shares.size() - 1) {
                remaining -= of(++domain, now);
            }
            return domain;
        }
    }

    /**
     * Describes one kind of request.
     *
     * @param share the share of this kind among all requests.
     * @param events the approximate mean number of events in an answer; 0 for a plain call.
     * @param tokens the approximate mean number of prompt tokens.
     * @param targetMillis the target for the first byte, in milliseconds after arrival.
     * @param deadlineMillis the deadline of the complete answer, in milliseconds after arrival.
     * @param maxPauseMillis the longest pause between two events that callers accept, in milliseconds; 0 for no limit.
     */
    record Tier(
            double share, double events, double tokens, long targetMillis, long deadlineMillis, long maxPauseMillis) {
        Tier(double share, double events, double tokens, long targetMillis, long deadlineMillis) {
            this(share, events, tokens, targetMillis, deadlineMillis, 0);
        }

        double drawEvents(Random random) {
            return events == 0 ? 0 : Math.max(1, events * Math.exp(random.nextGaussian() * 0.9 - 0.4));
        }

        double drawTokens(Random random) {
            return tokens * Math.exp(random.nextGaussian() * 0.7 - 0.25);
        }
    }
}
