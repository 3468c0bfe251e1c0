package org.radishspur.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.radishspur.decision.permit.RequestSize;
import org.radishspur.model.request.Tier;

/**
 * Draws the requests of an experiment: arrivals in bursts, five tiers, a few large organisations, and answer lengths
 * that differ a hundredfold.
 */
final class Workload {
    private static final double[] TIER_SHARES = {0.10, 0.15, 0.30, 0.25, 0.20};
    private static final double[] DEADLINE_FACTORS = {2, 2.5, 3, 4, 6};
    private static final double BASE_DEADLINE_MICROS = 2_000_000;
    private static final int ORGANISATIONS = 20;
    private static final int TOPICS_PER_ORGANISATION = 3;
    private static final int MINIMUM_OUTPUT_TOKENS = 8;
    private static final double OUTPUT_RANGE_FACTOR = 100;
    private static final double ANNOUNCED_LOG_DEVIATION = 0.5;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double BURST_PERIOD_MICROS = 10e6;
    private static final double BURST_AMPLITUDE = 0.5;

    private final Random random;
    private final EngineModel model;

    Workload(long seed, EngineModel model) {
        this.random = new Random(seed);
        this.model = model;
    }

    /**
     * Draws arrivals whose minimum engine time is a multiple of the time that engines of the given total speed provide.
     */
    List<Arrival> drawArrivals(double load, double totalSpeed, long horizonMicros) {
        double meanMicros = 0;
        Random sampleRandom = new Random(1);
        int samples = 20_000;
        for (int sample = 0; sample < samples; sample++) {
            meanMicros += model.minimumMicros(drawArrival(sample, 0, sampleRandom)) / samples;
        }
        double perMicro = load * totalSpeed / meanMicros;
        List<Arrival> arrivals = new ArrayList<>();
        double at = 0;
        while (true) {
            double burstFactor = 1 + BURST_AMPLITUDE * Math.sin(2 * Math.PI * at / BURST_PERIOD_MICROS);
            at += -Math.log(1 - random.nextDouble()) / (perMicro * burstFactor);
            if (at >= horizonMicros) {
                return arrivals;
            }
            arrivals.add(drawArrival(arrivals.size(), (long) at, random));
        }
    }

    private Arrival drawArrival(int number, long at, Random source) {
        int tier = drawTier(source);
        // The first organisations send most: the n-th sends about in proportion to 1/n.
        int organisation = (int) Math.floor(Math.pow(ORGANISATIONS + 1, source.nextDouble())) - 1;
        int prefixBlocks = 8 + Math.floorMod(organisation * 7, 24);
        int ownBlocks = 1 + source.nextInt(8);
        int outputTokens = (int) (MINIMUM_OUTPUT_TOKENS * Math.pow(OUTPUT_RANGE_FACTOR, source.nextDouble()));
        int announcedTokens =
                (int) Math.max(1, outputTokens * Math.exp(source.nextGaussian() * ANNOUNCED_LOG_DEVIATION));
        double fullBatchMicros =
                model.fullBatchMicros((prefixBlocks + ownBlocks) * RequestSize.BLOCK_TOKENS, outputTokens);
        long deadline = (long) (at + BASE_DEADLINE_MICROS + DEADLINE_FACTORS[tier] * fullBatchMicros);
        return new Arrival(
                number,
                at,
                Tier.values()[tier],
                "organisation-" + organisation,
                prefixBlocks,
                source.nextInt(TOPICS_PER_ORGANISATION),
                ownBlocks,
                outputTokens,
                announcedTokens,
                deadline);
    }

    private static int drawTier(Random source) {
        double drawn = source.nextDouble();
        int tier = 0;
        while (tier < TIER_SHARES.length - 1 && drawn >= TIER_SHARES[tier]) {
            drawn -= TIER_SHARES[tier];
            tier++;
        }
        return tier;
    }

    static double seconds(long micros) {
        return micros / MICROS_PER_SECOND;
    }
}
