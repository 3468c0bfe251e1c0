package org.radishspur.testkit.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.radishspur.model.request.Tier;

/**
 * Sums up the results of one experiment.
 */
final class ExperimentResult {
    private final EngineModel model;
    private final double[] offeredRequests = new double[Tier.values().length];
    private final double[] requestsInTime = new double[Tier.values().length];
    private final Map<String, Double> usefulMicrosByOrganisation = new HashMap<>();
    private final Map<Integer, Integer> redundantTokensByRequest = new HashMap<>();
    private double usefulMicros;
    private double offeredMicros;
    private long computedTokens;
    private long lostTokens;
    private long redundantTokens;
    private int refusals;

    ExperimentResult(EngineModel model, List<Arrival> arrivals) {
        this.model = model;
        for (Arrival arrival : arrivals) {
            offeredRequests[arrival.tier().ordinal()]++;
            offeredMicros += model.minimumMicros(arrival);
        }
    }

    void addComputedTokens(int tokens) {
        computedTokens += tokens;
    }

    /** Records prompt tokens that were computed although another engine had them cached. */
    void recordRedundantTokens(Arrival arrival, int tokens) {
        redundantTokensByRequest.put(arrival.number(), tokens);
    }

    void recordRefusal(Arrival arrival) {
        refusals++;
    }

    /**
     * Records how a request ended; only requests that ended within the horizon count towards the useful engine time.
     */
    void recordEnding(Arrival arrival, boolean answered, boolean withinHorizon, int computedTokensOfRequest) {
        if (!answered) {
            lostTokens += computedTokensOfRequest;
            return;
        }
        requestsInTime[arrival.tier().ordinal()]++;
        redundantTokens += redundantTokensByRequest.getOrDefault(arrival.number(), 0);
        if (withinHorizon) {
            usefulMicros += model.minimumMicros(arrival);
            usefulMicrosByOrganisation.merge(arrival.organisation(), model.minimumMicros(arrival), Double::sum);
        }
    }

    /** Returns the share of a tier's requests that were answered in time. */
    double goodput(Tier tier) {
        return requestsInTime[tier.ordinal()] / Math.max(1, offeredRequests[tier.ordinal()]);
    }

    /**
     * Returns the useful engine time as a share of the offered engine time or of the capacity, whichever is smaller.
     */
    double shareOfUpperBound(double capacityMicros) {
        return usefulMicros / Math.min(offeredMicros, capacityMicros);
    }

    /** Returns the largest share of the useful engine time that one organisation received. */
    double largestShare() {
        double largest = usefulMicrosByOrganisation.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
        return largest / Math.max(1, usefulMicros);
    }

    String tableRow(String name, double capacityMicros) {
        StringBuilder row = new StringBuilder(String.format(Locale.ROOT, "%-22s", name));
        for (Tier tier : Tier.values()) {
            row.append(String.format(Locale.ROOT, " %6.3f", goodput(tier)));
        }
        return row.append(String.format(
                        Locale.ROOT,
                        " %8.3f %9d %9d %9d %8.3f %8d",
                        shareOfUpperBound(capacityMicros),
                        computedTokens,
                        lostTokens,
                        redundantTokens,
                        largestShare(),
                        refusals))
                .toString();
    }
}
