package org.radishspur.node.entry;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.rollout.UpstreamTimes;
import org.radishspur.decision.rollout.UpstreamTimes.Measure;
import org.radishspur.node.entry.VersionCounters.Outcome;
import org.radishspur.node.fleet.FleetMessage.VersionCounts;
import org.radishspur.replication.state.CatalogueState.Rollout;
import org.radishspur.replication.state.CatalogueState.RolloutStage;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a rollout that begins without a reference of what was usual before. */
class RecentOutcomesTest {
    private final RecentOutcomes recent = new RecentOutcomes();

    @Test
    void keepsWhatIsYoungerThanHalfAMinuteAndForgetsWhatIsOlderThanAMinute() {
        recent.add("route", Outcome.FAILURE, 0);
        recent.add("route", Outcome.SUCCESS, 31_000);
        assertThat(recent.byRoute()).isEqualTo(Map.of("route", Map.of(Outcome.FAILURE, 1L, Outcome.SUCCESS, 1L)));
        recent.add("route", Outcome.SUCCESS, 61_000);
        assertThat(recent.byRoute()).isEqualTo(Map.of("route", Map.of(Outcome.SUCCESS, 2L)));
        recent.add("route", Outcome.NONE, 200_000);
        assertThat(recent.byRoute()).isEqualTo(Map.of("route", Map.of(Outcome.NONE, 1L)));
    }

    @Test
    void keepsTheLatestTimes() {
        for (int number = 0; number < 100; number++) {
            recent.addTime(number, Measure.EVENT, 10);
        }
        UpstreamTimes times = new UpstreamTimes();
        recent.addTimesTo(times);
        assertThat(times.toArray()).hasSizeLessThan(100).contains(99).doesNotContain(1_000);
        assertThat(times.trialUpstreams()).isZero();
    }

    @Test
    void isReportedWithTheRolloutThatFollows() {
        VersionCounters counters = new VersionCounters();
        counters.add("pool", "v1", "route", Outcome.SUCCESS);
        counters.add("pool", "v1", "route", Outcome.FAILURE);
        counters.add("other", "v1", "route", Outcome.SUCCESS);
        assertThat(counters.countsBefore()).isEmpty();
        counters.setRollouts(List.of(new Rollout("pool", "v2", 1_000, 7, RolloutStage.RUNNING)));
        counters.add("pool", "v2", "route", Outcome.FAILURE);
        assertThat(counters.countsBefore()).containsExactly(new VersionCounts("pool", "", "route", 2, 1, 0, 0, 7, 0));
        assertThat(counters.versionCounts())
                .containsExactly(new VersionCounts("pool", "v2", "route", 1, 1, 0, 0, 7, 0));
        counters.setRollouts(List.of());
        assertThat(counters.countsBefore()).isEmpty();
    }
}
