package org.radishspur.node.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaderSearchOrderTest {
    private final LeaderSearchOrder order = new LeaderSearchOrder();

    private static List<String> hosts(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> "10.0.0." + number + ":76")
                .toList();
    }

    @Nested
    class RestartOfAllProcesses {
        /**
         * Guards against an election that is slow because every entry sends requests to every control host in each
         * round.
         */
        @Test
        void eachRoundQueriesAFewControlHosts() {
            for (int round = 0; round < 20; round++) {
                assertThat(order.next(hosts(16))).hasSize(LeaderSearchOrder.HOSTS_PER_ROUND);
            }
        }

        /** Guards against an entry that never sends a request to the leader. */
        @Test
        void everyControlHostIsQueriedInTurn() {
            Set<String> queried = new HashSet<>();
            for (int round = 0; round < 3; round++) {
                queried.addAll(order.next(hosts(6)));
            }
            assertThat(queried).containsExactlyInAnyOrderElementsOf(hosts(6));
        }
    }

    @Nested
    class FewControlHosts {
        @Test
        void theOnlyOneIsQueriedOnceInEachRound() {
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
        }

        @Test
        void noneIsQueriedWithoutControlHosts() {
            assertThat(order.next(List.of())).isEmpty();
        }

        /** Guards against an entry that sends no more requests once the host that it queried last has left. */
        @Test
        void continuesAfterTheLastQueriedHostHasLeft() {
            order.next(hosts(6));
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
        }
    }
}
