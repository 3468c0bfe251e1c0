package org.radishspur.decision.slot;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulerChoiceTest {
    private final SchedulerChoice choice = new SchedulerChoice("entry", "b");
    private final Set<String> unreachable = new HashSet<>();

    @BeforeEach
    void setThreeSchedulers() {
        choice.setSchedulers(Map.of("one", "a", "two", "b", "three", "c"));
    }

    private Optional<String> chooseAt(long now) {
        return choice.choose(address -> !unreachable.contains(address), now);
    }

    @Nested
    class WithAllSchedulers {
        @Test
        void choosesTheSchedulerInItsOwnFailureDomain() {
            assertThat(chooseAt(0)).contains("two");
        }

        @Test
        void spreadsEntriesWithoutASchedulerInTheirFailureDomainOverAllSchedulers() {
            Map<String, Integer> entries = new HashMap<>();
            for (int number = 0; number < 300; number++) {
                SchedulerChoice other = new SchedulerChoice("10.0.0." + number + ":7600", "d");
                other.setSchedulers(Map.of("one", "a", "two", "b", "three", "c"));
                entries.merge(other.choose(address -> true, 0).orElseThrow(), 1, Integer::sum);
            }
            assertThat(entries.values()).hasSize(3).allMatch(count -> count > 60);
        }
    }

    @Nested
    class AfterAFailure {
        /** Guards against requests that wait for a scheduler that doesn't reply although others would. */
        @Test
        void choosesAnotherSchedulerImmediately() {
            choice.recordFailure("two", 0);
            assertThat(chooseAt(0)).isPresent().get().isNotEqualTo("two");
        }

        @Test
        void choosesTheLocalSchedulerAgainAfterTheFirstAvoidance() {
            choice.recordFailure("two", 0);
            assertThat(chooseAt(1_000)).contains("two");
        }

        /**
         * Guards against repeated delays by a scheduler that stays connected but is slow: each request to it times out.
         */
        @Test
        void doublesTheAvoidanceWithEachConsecutiveFailure() {
            choice.recordFailure("two", 0);
            choice.recordFailure("two", 1_000);
            assertThat(chooseAt(2_500)).get().isNotEqualTo("two");
            assertThat(chooseAt(3_000)).contains("two");
        }

        @Test
        void endsTheAvoidanceWhenTheSchedulerReplies() {
            choice.recordFailure("two", 0);
            choice.recordReply("two");
            assertThat(chooseAt(1)).contains("two");
        }

        @Test
        void choosesNoneWhenAllHaveFailed() {
            choice.recordFailure("one", 0);
            choice.recordFailure("two", 0);
            choice.recordFailure("three", 0);
            assertThat(chooseAt(1)).isEmpty();
        }
    }

    @Test
    void choosesNoUnreachableScheduler() {
        unreachable.add("two");
        assertThat(chooseAt(0)).get().isNotEqualTo("two");
    }

    @Test
    void choosesAnUnreadySchedulerAgainAfterAShortAvoidance() {
        choice.recordUnready("two", 0);
        assertThat(chooseAt(50)).get().isNotEqualTo("two");
        assertThat(chooseAt(100)).contains("two");
    }
}
