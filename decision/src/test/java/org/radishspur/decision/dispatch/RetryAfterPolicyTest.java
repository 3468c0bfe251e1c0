package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterPolicyTest {
    @Test
    void spreadsCallersOverTheLastOfTheTimeThatTheyHonour() {
        assertThat(RetryAfterPolicy.INSTANCE.spread(3_000, 0, 0)).isEqualTo(900);
        assertThat(RetryAfterPolicy.INSTANCE.spread(3_000, 0, 1)).isEqualTo(990);
    }

    /** Guards against fresh callers, who wait between 0.85 and 1 of the longest time, that are taken for returning ones. */
    @Test
    void takesNobodyForBackWhoIsOnlyLessPatientThanOthers() {
        assertThat(RetryAfterPolicy.INSTANCE.isReturning(10_200, 12_000)).isFalse();
        assertThat(RetryAfterPolicy.INSTANCE.isReturning(12_000, 12_000)).isFalse();
    }

    @Test
    void knowsWhoHasComeBackWhenAskedTo() {
        long left = 12_000 - RetryAfterPolicy.INSTANCE.spread(12_000, 0, 0);
        assertThat(RetryAfterPolicy.INSTANCE.isReturning(left, 12_000)).isTrue();
    }

    @Test
    void asksNobodyBackBeforeThereIsRoom() {
        assertThat(RetryAfterPolicy.INSTANCE.spread(3_000, 950, 0)).isEqualTo(950);
    }

    @Test
    void asksNobodyBackLaterThanCallersComeBack() {
        assertThat(RetryAfterPolicy.INSTANCE.spread(3_000, 5_000, 0)).isEqualTo(990);
    }

    @Test
    void leavesSomeTimeToACallerThatHasHardlyAnyLeft() {
        assertThat(RetryAfterPolicy.INSTANCE.latest(0)).isEqualTo(1);
    }
}
