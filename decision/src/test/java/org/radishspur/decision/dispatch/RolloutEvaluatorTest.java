package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.RolloutEvaluator.OutcomeCounts;
import org.radishspur.decision.dispatch.RolloutEvaluator.RouteOutcomes;
import org.radishspur.decision.dispatch.RolloutEvaluator.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutEvaluatorTest {
    private static final OutcomeCounts OTHERS = new OutcomeCounts(200, 2, 200 * 100, 0);

    private static Verdict evaluate(OutcomeCounts trial, double elapsed) {
        return RolloutEvaluator.INSTANCE.evaluate(List.of(new RouteOutcomes(trial, OTHERS)), elapsed);
    }

    @Test
    void staysUndecidedDuringTheTrialOfAHealthyVersion() {
        assertThat(evaluate(new OutcomeCounts(30, 0, 3_000, 0), 0.5)).isEqualTo(Verdict.UNDECIDED);
    }

    @Test
    void findsAVersionGoodAtTheEndOfTheTrial() {
        assertThat(evaluate(new OutcomeCounts(30, 0, 3_000, 0), 0.85)).isEqualTo(Verdict.GOOD);
    }

    @Test
    void findsAFailingVersionBadImmediately() {
        assertThat(evaluate(new OutcomeCounts(8, 3, 800, 0), 0.1)).isEqualTo(Verdict.BAD);
    }

    @Test
    void findsASlowVersionBad() {
        assertThat(evaluate(new OutcomeCounts(10, 0, 10 * 800, 0), 0.3)).isEqualTo(Verdict.BAD);
    }

    @Test
    void ignoresFailuresThatAllVersionsShare() {
        OutcomeCounts failing = new OutcomeCounts(200, 60, 200 * 100, 0);
        assertThat(RolloutEvaluator.INSTANCE.evaluate(
                        List.of(new RouteOutcomes(new OutcomeCounts(10, 3, 1_000, 0), failing)), 0.5))
                .isEqualTo(Verdict.UNDECIDED);
    }

    @Test
    void findsAVersionBadThatFailsOnOneRouteOnly() {
        RouteOutcomes healthy = new RouteOutcomes(new OutcomeCounts(50, 0, 5_000, 0), OTHERS);
        RouteOutcomes failing = new RouteOutcomes(new OutcomeCounts(5, 4, 500, 0), OTHERS);
        assertThat(RolloutEvaluator.INSTANCE.evaluate(List.of(healthy, failing), 0.5))
                .isEqualTo(Verdict.BAD);
    }

    @Test
    void findsAVersionWithoutAnswersBad() {
        assertThat(evaluate(OutcomeCounts.NONE, 0.9)).isEqualTo(Verdict.BAD);
    }

    /** Guards against a version that leaves requests unanswered and so gives no answers that count against it. */
    @Test
    void findsAVersionBadThatLeavesRequestsUnanswered() {
        assertThat(evaluate(new OutcomeCounts(12, 0, 1_200, 8), 0.3)).isEqualTo(Verdict.BAD);
    }

    /** Guards against a good version that is taken back because all upstreams are silent for a second. */
    @Test
    void ignoresRequestsThatAllVersionsLeaveUnanswered() {
        RouteOutcomes silent =
                new RouteOutcomes(new OutcomeCounts(20, 0, 2_000, 6), new OutcomeCounts(200, 0, 200 * 100, 30));
        assertThat(RolloutEvaluator.INSTANCE.evaluate(List.of(silent), 0.5)).isEqualTo(Verdict.UNDECIDED);
    }

    /** Guards against a good version that is taken back because its own few upstreams are silent for a second. */
    @Test
    void ignoresTheRequestsOfOneSilence() {
        assertThat(evaluate(new OutcomeCounts(20, 0, 2_000, 4), 0.5)).isEqualTo(Verdict.UNDECIDED);
    }
}
