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
    void knowsThreeSchedulers() {
        choice.schedulers(Map.of("one", "a", "two", "b", "three", "c"));
    }

    private Optional<String> chosenAt(long now) {
        return choice.choose(address -> !unreachable.contains(address), now);
    }

    @Nested
    class WithAllSchedulers {
        @Test
        void takesTheOneOfItsOwnFailureDomain() {
            assertThat(chosenAt(0)).contains("two");
        }

        @Test
        void spreadsEntriesWithoutASchedulerOfTheirOwnOverAllOthers() {
            Map<String, Integer> entries = new HashMap<>();
            for (int number = 0; number < 300; number++) {
                SchedulerChoice other = new SchedulerChoice("10.0.0." + number + ":7600", "d");
                other.schedulers(Map.of("one", "a", "two", "b", "three", "c"));
                entries.merge(other.choose(address -> true, 0).orElseThrow(), 1, Integer::sum);
            }
            assertThat(entries.values()).hasSize(3).allMatch(count -> count > 60);
        }
    }

    @Nested
    class AfterAFailure {
        /** Guards against requests that wait for a frozen scheduler although others answer. */
        @Test
        void takesAnotherOneAtOnce() {
            choice.failed("two", 0);
            assertThat(chosenAt(0)).isPresent().get().isNotEqualTo("two");
        }

        @Test
        void returnsToItsOwnOneAfterAWhile() {
            choice.failed("two", 0);
            assertThat(chosenAt(1_000)).contains("two");
        }

        /** Guards against a scheduler that is up and slow for long: each return to it delays requests. */
        @Test
        void staysAwayLongerEachTime() {
            choice.failed("two", 0);
            choice.failed("two", 1_000);
            assertThat(chosenAt(2_500)).get().isNotEqualTo("two");
            assertThat(chosenAt(3_000)).contains("two");
        }

        @Test
        void forgetsFailuresOnceItAnswers() {
            choice.failed("two", 0);
            choice.answered("two");
            assertThat(chosenAt(1)).contains("two");
        }

        @Test
        void findsNoneWhereAllHaveFailed() {
            choice.failed("one", 0);
            choice.failed("two", 0);
            choice.failed("three", 0);
            assertThat(chosenAt(1)).isEmpty();
        }
    }

    @Test
    void takesNoneThatCantBeReached() {
        unreachable.add("two");
        assertThat(chosenAt(0)).get().isNotEqualTo("two");
    }

    @Test
    void asksOneThatIsntReadyAgainSoon() {
        choice.unready("two", 0);
        assertThat(chosenAt(50)).get().isNotEqualTo("two");
        assertThat(chosenAt(100)).contains("two");
    }
}
