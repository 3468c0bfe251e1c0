package org.radishspur.decision.rollout;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the outcomes of a trial into windows of time, and sums up those in which the other versions failed no more than
 * before the rollout. What a version does beside a disturbance shows little about it, whichever way the comparison ends.
 */
final class TrialHistory {
    /** The minimum and maximum length of a window, in milliseconds, and the number of outcomes that ends one between. */
    private static final long MIN_WINDOW_MILLIS = 400;

    private static final long MAX_WINDOW_MILLIS = 2_000;
    private static final long OUTCOMES_PER_WINDOW = 20;

    /** The number of windows that count as recent. */
    private static final int RECENT_WINDOWS = 3;

    /** The number of bad outcomes of the others in a window from which they may show a disturbance. */
    private static final long MIN_DISTURBED_OUTCOMES = 3;

    /** The excess of the others' share of bad outcomes over that before the rollout which is no disturbance. */
    private static final double DISTURBANCE_MARGIN = 0.08;

    /** The logarithm of the likelihood ratio that shows a disturbance. */
    private static final double DISTURBANCE_LOG_RATIO = 5;

    private static final OutcomeComparison DISTURBANCE = new OutcomeComparison(
            RouteOutcomes::others, RouteOutcomes::before, OutcomeCounts::bad, OutcomeCounts::requests);

    private final Deque<Map<String, RouteOutcomes>> recentWindows = new ArrayDeque<>();
    private final Map<String, RouteOutcomes> undisturbed = new HashMap<>();
    private Map<String, RouteOutcomes> sums = Map.of();
    private Map<String, RouteOutcomes> windowStart = Map.of();
    private long windowStartedAt = Long.MIN_VALUE;
    private Map<String, RouteOutcomes> disturbanceStart = Map.of();
    private boolean disturbed;

    /**
     * Records the outcomes so far.
     *
     * @param newSums the outcomes since the start of the rollout, by route.
     * @param now the monotonic clock in milliseconds.
     * @return whether a window has ended.
     */
    boolean update(Map<String, RouteOutcomes> newSums, long now) {
        sums = Map.copyOf(newSums);
        if (windowStartedAt == Long.MIN_VALUE) {
            windowStartedAt = now;
        }
        Map<String, RouteOutcomes> window = since(windowStart);
        long others = window.values().stream()
                .mapToLong(route -> route.others().requests())
                .sum();
        long millis = now - windowStartedAt;
        if (millis >= MAX_WINDOW_MILLIS || millis >= MIN_WINDOW_MILLIS && others >= OUTCOMES_PER_WINDOW) {
            close(window);
            windowStart = sums;
            windowStartedAt = now;
            return true;
        }
        return false;
    }

    private void close(Map<String, RouteOutcomes> window) {
        boolean wasDisturbed = disturbed;
        disturbed = DISTURBANCE.bad(window.values()) >= MIN_DISTURBED_OUTCOMES
                && DISTURBANCE.excess(window.values()) > DISTURBANCE_MARGIN
                && DISTURBANCE.certainty(window.values()) >= DISTURBANCE_LOG_RATIO;
        if (disturbed) {
            disturbanceStart = wasDisturbed ? disturbanceStart : windowStart;
            return;
        }
        addTo(undisturbed, window);
        recentWindows.addLast(window);
        if (recentWindows.size() > RECENT_WINDOWS) {
            recentWindows.removeFirst();
        }
    }

    private static void addTo(Map<String, RouteOutcomes> target, Map<String, RouteOutcomes> added) {
        added.forEach((route, outcomes) -> target.merge(
                route,
                outcomes,
                (one, other) -> new RouteOutcomes(
                        one.trial().plus(other.trial()), one.others().plus(other.others()), other.before())));
    }

    /** Returns whether the others failed more than before the rollout in the latest complete window. */
    boolean isDisturbed() {
        return disturbed;
    }

    /** Returns the outcomes since the present disturbance began, or none if there is none. */
    Collection<RouteOutcomes> disturbed() {
        return disturbed ? since(disturbanceStart).values() : List.of();
    }

    /** Returns the outcomes since the start of the rollout, by route. */
    Map<String, RouteOutcomes> all() {
        return sums;
    }

    /** Returns the outcomes since an earlier state of {@link #all()}, by route. */
    Map<String, RouteOutcomes> since(Map<String, RouteOutcomes> earlier) {
        Map<String, RouteOutcomes> difference = new HashMap<>();
        sums.forEach((route, outcomes) ->
                difference.put(route, outcomes.since(earlier.getOrDefault(route, RouteOutcomes.NONE))));
        return difference;
    }

    /** Returns the number of bad outcomes of the version under trial beside disturbances. */
    long uncertainBad() {
        return bad(sums) - bad(undisturbed);
    }

    private static long bad(Map<String, RouteOutcomes> outcomes) {
        return outcomes.values().stream()
                .mapToLong(route -> route.trial().bad())
                .sum();
    }

    /** Returns the outcomes of all undisturbed windows. */
    Collection<RouteOutcomes> undisturbed() {
        return withReference(undisturbed);
    }

    /** Returns the outcomes of the latest undisturbed windows. */
    Collection<RouteOutcomes> recent() {
        Map<String, RouteOutcomes> sum = new HashMap<>();
        recentWindows.forEach(window -> addTo(sum, window));
        return withReference(sum);
    }

    /** Returns outcomes with all undisturbed ones of the others, those before the rollout included. */
    Collection<RouteOutcomes> withReference(Map<String, RouteOutcomes> outcomes) {
        return outcomes.entrySet().stream()
                .map(each -> {
                    RouteOutcomes route = each.getValue();
                    OutcomeCounts others = undisturbed
                            .getOrDefault(each.getKey(), RouteOutcomes.NONE)
                            .others();
                    return new RouteOutcomes(route.trial(), others.plus(route.before()), route.before());
                })
                .toList();
    }
}
