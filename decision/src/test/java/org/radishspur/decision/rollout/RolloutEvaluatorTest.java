package org.radishspur.decision.rollout;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.rollout.RolloutEvaluator.Finding;
import org.radishspur.decision.rollout.UpstreamTimes.Evidence;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutEvaluatorTest {
    private static final OutcomeCounts OTHERS = new OutcomeCounts(200, 2, 0);
    private static final OutcomeCounts HEALTHY = new OutcomeCounts(30, 0, 0);

    private static Finding evaluate(OutcomeCounts trial, double elapsed) {
        return evaluate(trial, Evidence.NONE, elapsed);
    }

    private static Finding evaluate(OutcomeCounts trial, Evidence slowness, double elapsed) {
        return evaluate(List.of(new RouteOutcomes(trial, OTHERS)), slowness, elapsed);
    }

    private static Finding evaluate(List<RouteOutcomes> routes, Evidence slowness, double elapsed) {
        return RolloutEvaluator.INSTANCE.evaluate(
                new TrialEvidence(routes, routes, routes, List.of(), slowness), elapsed);
    }

    @Test
    void staysUndecidedDuringTheTrialOfAHealthyVersion() {
        assertThat(evaluate(HEALTHY, 0.5)).isEqualTo(Finding.UNDECIDED);
    }

    @Test
    void findsAVersionGoodAtTheEndOfTheTrial() {
        assertThat(evaluate(HEALTHY, 0.85)).isEqualTo(Finding.GOOD);
    }

    @Test
    void findsAFailingVersionBadImmediately() {
        assertThat(evaluate(new OutcomeCounts(8, 3, 0), 0.1)).isEqualTo(Finding.FAILING);
    }

    @Test
    void findsASlowVersionBadImmediately() {
        assertThat(evaluate(HEALTHY, Evidence.PROVEN, 0.3)).isEqualTo(Finding.SLOW);
    }

    /** Guards against a version that is completed while it may be slower, although there is time for more evidence. */
    @Test
    void prolongsTheTrialOfAVersionThatMayBeSlower() {
        assertThat(evaluate(HEALTHY, Evidence.SUSPECTED, 0.85)).isEqualTo(Finding.UNDECIDED);
        assertThat(evaluate(HEALTHY, Evidence.SUSPECTED, 0.91)).isEqualTo(Finding.PROBABLY_SLOW);
        assertThat(evaluate(HEALTHY, Evidence.NONE, 0.91)).isEqualTo(Finding.GOOD);
    }

    @Test
    void ignoresFailuresThatAllVersionsShare() {
        OutcomeCounts failing = new OutcomeCounts(200, 60, 0);
        RouteOutcomes outcomes = new RouteOutcomes(new OutcomeCounts(10, 3, 0), failing);
        assertThat(evaluate(List.of(outcomes), Evidence.NONE, 0.5)).isEqualTo(Finding.UNDECIDED);
    }

    @Test
    void findsAVersionBadThatFailsOnOneRouteOnly() {
        RouteOutcomes healthy = new RouteOutcomes(new OutcomeCounts(50, 0, 0), OTHERS);
        RouteOutcomes failing = new RouteOutcomes(new OutcomeCounts(5, 4, 0), OTHERS);
        assertThat(evaluate(List.of(healthy, failing), Evidence.NONE, 0.5)).isEqualTo(Finding.FAILING);
    }

    @Test
    void findsAVersionWithoutAnswersBad() {
        assertThat(evaluate(OutcomeCounts.NONE, 0.9)).isEqualTo(Finding.TOO_FEW_ANSWERS);
    }

    /** Guards against a version that leaves requests unanswered and so gives no answers that count against it. */
    @Test
    void findsAVersionBadThatLeavesRequestsUnanswered() {
        assertThat(evaluate(new OutcomeCounts(12, 0, 8), 0.3)).isEqualTo(Finding.UNANSWERING);
    }

    /** Guards against a good version that is taken back because all upstreams are silent for a second. */
    @Test
    void ignoresRequestsThatAllVersionsLeaveUnanswered() {
        RouteOutcomes silent = new RouteOutcomes(new OutcomeCounts(20, 0, 6), new OutcomeCounts(200, 0, 30));
        assertThat(evaluate(List.of(silent), Evidence.NONE, 0.5)).isEqualTo(Finding.UNDECIDED);
    }

    /** Guards against a good version that is taken back because its own few upstreams are silent for a second. */
    @Test
    void ignoresTheRequestsOfOneSilence() {
        assertThat(evaluate(new OutcomeCounts(20, 0, 4), 0.5)).isEqualTo(Finding.UNDECIDED);
    }
}
