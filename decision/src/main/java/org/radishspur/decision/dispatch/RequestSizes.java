package org.radishspur.decision.dispatch;

/**
 * Measures the usual cost of an organisation's requests, and which are small in comparison.
 */
final class RequestSizes {
    /** A request counts as small below this ratio of its cost to the organisation's average cost. */
    private static final double SMALL_COST_RATIO = 0.25;

    /** Weight of the newest cost in the average; about a hundred requests outweigh the older ones. */
    private static final double COST_AVERAGE_WEIGHT = 0.01;

    private final MovingAverage costs = new MovingAverage(COST_AVERAGE_WEIGHT);

    void add(double cost) {
        costs.add(cost);
    }

    boolean isSmall(double cost) {
        return costs.isKnown() && cost < costs.value() * SMALL_COST_RATIO;
    }
}
