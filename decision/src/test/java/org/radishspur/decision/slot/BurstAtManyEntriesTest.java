package org.radishspur.decision.slot;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays bursts on the engines of five failure domains that serve ninety-one entries, in virtual time.
 *
 * <p>The pattern: each entry takes a few requests a second, too few to learn from; each failure domain has a scheduler, and
 * schedulers report their load to each other every 40 ms; one engine in three is 4.4 times as slow as the others.
 */
class BurstAtManyEntriesTest {
    private static final double USUAL_RATE = 350;

    /** No single loss may stop grants for longer, in milliseconds. */
    private static final long LONGEST_STOP_MILLIS = 300;

    @Nested
    class WithAllSchedulers {
        /** Guards against entries that all take the same free slot, so that requests queue inside an engine. */
        @Test
        void putsNoMoreThanOneRequestOfEachSchedulerBeyondTheSlotsOfAnEngine() {
            SchedulerWorld world = new SchedulerWorld(20_261, Workload.STREAMS);
            world.play(USUAL_RATE * 2, 5_000);
            assertThat(world.mostBeyondSlots()).isLessThanOrEqualTo(Workload.STREAMS.schedulers());
        }

        /** Guards against a burst in which urgent requests wait behind less urgent ones of other entries. */
        @Test
        void keepsTheMostUrgentTierOnTime() {
            SchedulerWorld world = new SchedulerWorld(20_262, Workload.STREAMS);
            world.play(USUAL_RATE * 2, 5_000);
            assertThat(world.onTime(0)).isGreaterThan(0.95);
            assertThat(world.onTime(0)).isGreaterThanOrEqualTo(world.onTime(1));
            assertThat(world.onTime(1)).isGreaterThanOrEqualTo(world.onTime(2));
        }

        /** Guards against callers who are asked back into the burst that they were refused in. */
        @Test
        void servesNineInTenOfTheRefusedWhenTheyComeBack() {
            SchedulerWorld world = new SchedulerWorld(20_267, Workload.STREAMS);
            world.play(USUAL_RATE, 1_500);
            world.play(USUAL_RATE * 1.5, 5_000);
            world.play(USUAL_RATE, 5_000);
            assertThat(world.refusedTwiceShare()).isLessThan(world.refusedShare() / 10);
        }

        @Test
        void refusesNobodyAtTheUsualRate() {
            SchedulerWorld world = new SchedulerWorld(20_263, Workload.STREAMS);
            world.play(USUAL_RATE, 5_000);
            assertThat(world.refusedShare()).isLessThan(0.01);
        }
    }

    @Nested
    class WithALostScheduler {
        /** Guards against entries that wait for a scheduler that is gone. */
        @Test
        void goesOnGrantingToTheEntriesOfItsFailureDomain() {
            SchedulerWorld world = new SchedulerWorld(20_264, Workload.STREAMS);
            world.play(USUAL_RATE, 2_000);
            world.loseScheduler(0);
            world.play(USUAL_RATE, 2_000);
            assertThat(world.longestStopMillis(0)).isLessThan(LONGEST_STOP_MILLIS);
        }

        /** Guards against slots that are counted nowhere, or twice for good, after their scheduler is gone. */
        @Test
        void keepsTheMostUrgentTierOnTimeInABurst() {
            SchedulerWorld world = new SchedulerWorld(20_265, Workload.STREAMS);
            world.play(USUAL_RATE, 2_000);
            world.loseScheduler(0);
            world.play(USUAL_RATE * 1.7, 3_000);
            assertThat(world.onTime(0)).isGreaterThan(0.95);
        }
    }
}
