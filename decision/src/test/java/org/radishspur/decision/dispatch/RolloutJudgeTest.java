package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.dispatch.RolloutJudge.Evidence;
import org.radishspur.decision.dispatch.RolloutJudge.Side;
import org.radishspur.decision.dispatch.RolloutJudge.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutJudgeTest {
    private static final Side OTHERS = new Side(200, 2, 200 * 100);

    private static Verdict judge(Side trial, double elapsed) {
        return RolloutJudge.INSTANCE.judge(List.of(new Evidence(trial, OTHERS)), elapsed);
    }

    @Test
    void staysUndecidedDuringTheTrialOfAHealthyVersion() {
        assertThat(judge(new Side(30, 0, 3_000), 0.5)).isEqualTo(Verdict.UNDECIDED);
    }

    @Test
    void findsAVersionGoodAtTheEndOfTheTrial() {
        assertThat(judge(new Side(30, 0, 3_000), 0.85)).isEqualTo(Verdict.GOOD);
    }

    @Test
    void findsAFailingVersionBadAtOnce() {
        assertThat(judge(new Side(8, 3, 800), 0.1)).isEqualTo(Verdict.BAD);
    }

    @Test
    void findsASlowVersionBad() {
        assertThat(judge(new Side(10, 0, 10 * 800), 0.3)).isEqualTo(Verdict.BAD);
    }

    @Test
    void ignoresFailuresThatAllVersionsShare() {
        Side failing = new Side(200, 60, 200 * 100);
        assertThat(RolloutJudge.INSTANCE.judge(List.of(new Evidence(new Side(10, 3, 1_000), failing)), 0.5))
                .isEqualTo(Verdict.UNDECIDED);
    }

    @Test
    void findsAVersionBadThatFailsOnOneRouteOnly() {
        Evidence sound = new Evidence(new Side(50, 0, 5_000), OTHERS);
        Evidence failing = new Evidence(new Side(5, 4, 500), OTHERS);
        assertThat(RolloutJudge.INSTANCE.judge(List.of(sound, failing), 0.5)).isEqualTo(Verdict.BAD);
    }

    @Test
    void findsAVersionWithoutAnswersBad() {
        assertThat(judge(Side.NONE, 0.9)).isEqualTo(Verdict.BAD);
    }
}
