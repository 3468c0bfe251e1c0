package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.RolloutEvaluator.OutcomeCounts;
import org.radishspur.decision.dispatch.RolloutEvaluator.RouteOutcomes;
import org.radishspur.decision.dispatch.RolloutEvaluator.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutEvaluatorTest {
    private static final OutcomeCounts OTHERS = new OutcomeCounts(200, 2, 200 * 100);

    private static Verdict evaluate(OutcomeCounts trial, double elapsed) {
        return RolloutEvaluator.INSTANCE.evaluate(List.of(new RouteOutcomes(trial, OTHERS)), elapsed);
    }

    @Test
    void staysUndecidedDuringTheTrialOfAHealthyVersion() {
        assertThat(evaluate(new OutcomeCounts(30, 0, 3_000), 0.5)).isEqualTo(Verdict.UNDECIDED);
    }

    @Test
    void findsAVersionGoodAtTheEndOfTheTrial() {
        assertThat(evaluate(new OutcomeCounts(30, 0, 3_000), 0.85)).isEqualTo(Verdict.GOOD);
    }

    @Test
    void findsAFailingVersionBadImmediately() {
        assertThat(evaluate(new OutcomeCounts(8, 3, 800), 0.1)).isEqualTo(Verdict.BAD);
    }

    @Test
    void findsASlowVersionBad() {
        assertThat(evaluate(new OutcomeCounts(10, 0, 10 * 800), 0.3)).isEqualTo(Verdict.BAD);
    }

    @Test
    void ignoresFailuresThatAllVersionsShare() {
        OutcomeCounts failing = new OutcomeCounts(200, 60, 200 * 100);
        assertThat(RolloutEvaluator.INSTANCE.evaluate(
                        List.of(new RouteOutcomes(new OutcomeCounts(10, 3, 1_000), failing)), 0.5))
                .isEqualTo(Verdict.UNDECIDED);
    }

    @Test
    void findsAVersionBadThatFailsOnOneRouteOnly() {
        RouteOutcomes healthy = new RouteOutcomes(new OutcomeCounts(50, 0, 5_000), OTHERS);
        RouteOutcomes failing = new RouteOutcomes(new OutcomeCounts(5, 4, 500), OTHERS);
        assertThat(RolloutEvaluator.INSTANCE.evaluate(List.of(healthy, failing), 0.5))
                .isEqualTo(Verdict.BAD);
    }

    @Test
    void findsAVersionWithoutAnswersBad() {
        assertThat(evaluate(OutcomeCounts.NONE, 0.9)).isEqualTo(Verdict.BAD);
    }
}
