package org.radishspur.decision.dispatch;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class SlotValuesTest {
    private static final long NOW = 1_000;

    private final SlotValues values = new SlotValues();

    private static QueuedRequest queued(int tier, boolean late) {
        long target = late ? NOW : NOW + 400;
        return new QueuedRequest(
                "r",
                0,
                NOW,
                NOW + 200,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(100, 50, tier, target, NOW + 8_000));
    }

    @Nested
    class BeforeAnyAnswer {
        @BeforeEach
        void addTiers() {
            values.addTier(0);
            values.addTier(2);
        }

        @Test
        void ranksByTierOnly() {
            assertThat(values.tiersBehindBest(queued(0, false))).isZero();
            assertThat(values.tiersBehindBest(queued(2, false))).isCloseTo(2, within(1e-9));
        }

        @Test
        void ranksALateRequestOneTierLower() {
            assertThat(values.tiersBehindBest(queued(0, true))).isCloseTo(1, within(1e-9));
        }
    }

    /**
     * Three tiers whose answers take 1.5 s, 1 s and 0.1 s.
     */
    @Nested
    class WithShortAndLongAnswers {
        @BeforeEach
        void recordHolds() {
            for (int answer = 0; answer < 200; answer++) {
                values.recordHold(0, 1_500);
                values.recordHold(1, 1_000);
                values.recordHold(2, 100);
            }
        }

        /**
         * Guards against short requests that are refused for seconds, though none of them would have delayed another.
         */
        @Test
        void ranksAShortAnswerOfTheLeastUrgentTierAboveALongOneOfTheNext() {
            assertThat(values.valueFor(queued(2, false))).isGreaterThan(values.valueFor(queued(1, false)));
        }

        @Test
        void ranksTheMostUrgentTierFirst() {
            assertThat(values.valueFor(queued(0, false))).isGreaterThan(values.valueFor(queued(2, false)));
            assertThat(values.tiersBehindBest(queued(0, false))).isZero();
        }

        @Test
        void ranksALateRequestBelowThoseThatCanBeOnTime() {
            assertThat(values.valueFor(queued(1, true))).isLessThan(values.valueFor(queued(1, false)));
            assertThat(values.valueFor(queued(1, true))).isLessThan(values.valueFor(queued(2, false)));
        }
    }
}
