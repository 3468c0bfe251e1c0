package org.radishspur.decision.slot;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates sixteen organisations in virtual time, each of which sends four fifths of what the one before sends, and has
 * a quota in proportion. The largest one sends six times its usual requests for 6 s.
 *
 * <p>The usual requests take about 19 in 20 of the engines' capacity, so that each excess request takes the slot of
 * another one. Five schedulers report their load to each other every 40 ms.
 */
class FloodOfOneOrganisationTest {
    private static final double REQUESTS_PER_SECOND = 420;
    private static final double FLOOD = 6;
    private static final long BEFORE_MILLIS = 3_000;
    private static final long FLOOD_MILLIS = 6_000;
    private static final long FLOOD_ENDS_AT = BEFORE_MILLIS + FLOOD_MILLIS;

    /** The time until an organisation that was granted the shares of others must have given them back. */
    private static final long GIVEN_BACK_MILLIS = 1_000;

    private static final int FLOODING = 0;
    private static final OrganisationMix USUAL = OrganisationMix.skewed(16, 0.8);
    private static final Predicate<Integer> IS_FLOODING = organisation -> organisation == FLOODING;
    private static final Predicate<Integer> IS_OTHER = IS_FLOODING.negate();

    private static final long[] SEEDS = {20_261, 20_262};

    private static SchedulerSimulation simulation(long seed, OrganisationMix mix) {
        SchedulerSimulation simulation = new SchedulerSimulation(seed, Workload.STREAMS);
        simulation.setRules(USUAL.rules(Set.of()));
        run(simulation, mix, BEFORE_MILLIS);
        return simulation;
    }

    private static void run(SchedulerSimulation simulation, OrganisationMix mix, long millis) {
        simulation.setOrganisations(mix);
        simulation.run(REQUESTS_PER_SECOND * mix.total(), millis);
    }

    /** Returns the share on time of the other organisations in the time of the flood, but without one. */
    private static double othersWithoutFlood(long seed) {
        SchedulerSimulation simulation = simulation(seed, USUAL);
        run(simulation, USUAL, FLOOD_MILLIS + 1_000);
        return simulation.onTimeShare(IS_OTHER, BEFORE_MILLIS, FLOOD_ENDS_AT);
    }

    /** Returns about how many requests the flooding organisation sends in the time of the flood without flooding. */
    private static double usualRequests() {
        return REQUESTS_PER_SECOND * USUAL.sizes().get(FLOODING) * FLOOD_MILLIS / 1_000;
    }

    @Nested
    class WithAllSchedulers {
        /** Guards against one organisation whose excess requests take the slots of all others. */
        @Test
        void costsTheOthersAtMostTwoInAHundredAnswersOnTime() {
            double lost = 0;
            for (long seed : SEEDS) {
                SchedulerSimulation flooded = simulation(seed, USUAL);
                run(flooded, USUAL.with(FLOODING, FLOOD), FLOOD_MILLIS);
                run(flooded, USUAL, 1_000);
                lost += othersWithoutFlood(seed) - flooded.onTimeShare(IS_OTHER, BEFORE_MILLIS, FLOOD_ENDS_AT);
                assertThat(flooded.overtakingGrants()).isPositive();
                assertThat(flooded.countOnTime(IS_FLOODING, BEFORE_MILLIS, FLOOD_ENDS_AT))
                        .as("on time of the flooding organisation, whose share is at least its usual requests")
                        .isGreaterThan((long) usualRequests());
            }
            assertThat(lost / SEEDS.length).isLessThan(0.02);
        }

        /** Guards against slots that stay free for organisations which send nothing. */
        @Test
        void lendsTheSharesOfOrganisationsThatSendLittle() {
            OrganisationMix quietOthers = USUAL.withOthers(FLOODING, 0.3).with(FLOODING, FLOOD);
            SchedulerSimulation simulation = simulation(SEEDS[0], USUAL);
            run(simulation, quietOthers, FLOOD_MILLIS);
            assertThat(simulation.countOnTime(IS_FLOODING, BEFORE_MILLIS, FLOOD_ENDS_AT))
                    .isGreaterThan((long) (2.5 * usualRequests()));
            assertThat(simulation.onTimeShare(IS_OTHER, BEFORE_MILLIS, FLOOD_ENDS_AT))
                    .isGreaterThan(0.97);
        }

        /** Guards against an organisation that keeps the shares of others when these send requests again. */
        @Test
        void givesBackBorrowedSharesWithinASecond() {
            OrganisationMix flood = USUAL.with(FLOODING, FLOOD);
            SchedulerSimulation simulation = simulation(SEEDS[0], flood.withOthers(FLOODING, 0.1));
            run(simulation, flood, FLOOD_MILLIS);
            run(simulation, USUAL, 1_000);
            assertThat(simulation.onTimeShare(IS_OTHER, BEFORE_MILLIS + GIVEN_BACK_MILLIS, FLOOD_ENDS_AT))
                    .isGreaterThan(othersWithoutFlood(SEEDS[0]) - 0.02);
        }

        /** Guards against decisions that change for the sake of organisations where there is only one. */
        @Test
        void decidesAboutOneOrganisationAsAboutNone() {
            SchedulerSimulation without = new SchedulerSimulation(20_262, Workload.STREAMS);
            without.run(2 * REQUESTS_PER_SECOND, 2_000);
            SchedulerSimulation withOne = new SchedulerSimulation(20_262, Workload.STREAMS);
            withOne.setOrganisations(new OrganisationMix(List.of(1.0)));
            withOne.run(2 * REQUESTS_PER_SECOND, 2_000);
            assertThat(withOne.rejectedShare()).isPositive().isEqualTo(without.rejectedShare());
            for (int tier = 0; tier < Workload.STREAMS.tiers().size(); tier++) {
                assertThat(withOne.onTimeShare(tier)).isEqualTo(without.onTimeShare(tier));
            }
        }
    }

    @Nested
    class WithAFailure {
        /** Guards against a scheduler that has lost its state and lets the flood through for long. */
        @Test
        void schedulerThatHasJustStartedDividesSlotsWithinASecond() {
            OrganisationMix flood = USUAL.with(FLOODING, FLOOD);
            SchedulerSimulation simulation = simulation(SEEDS[0], USUAL);
            run(simulation, flood, 2_000);
            simulation.restartScheduler(0);
            long restartedAt = simulation.now();
            run(simulation, flood, 3_000);
            run(simulation, USUAL, 1_000);
            assertThat(simulation.onTimeShare(IS_OTHER, restartedAt + GIVEN_BACK_MILLIS, restartedAt + 3_000))
                    .isGreaterThan(othersWithoutFlood(SEEDS[0]) - 0.02);
        }

        /** Guards against an organisation without a rule that has no share at all. */
        @Test
        void organisationWithoutARuleHasAShareAsTheOthers() {
            int withoutRule = 4;
            SchedulerSimulation simulation = new SchedulerSimulation(20_263, Workload.STREAMS);
            simulation.setRules(USUAL.rules(Set.of(withoutRule)));
            run(simulation, USUAL, BEFORE_MILLIS);
            run(simulation, USUAL.with(FLOODING, FLOOD), FLOOD_MILLIS);
            run(simulation, USUAL, 1_000);
            assertThat(simulation.onTimeShare(
                            organisation -> organisation == withoutRule, BEFORE_MILLIS, FLOOD_ENDS_AT))
                    .isGreaterThan(0.95);
        }
    }
}
