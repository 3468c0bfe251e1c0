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
        void eachRoundAsksAFewControlHosts() {
            for (int round = 0; round < 20; round++) {
                assertThat(order.next(hosts(16))).hasSize(LeaderSearchOrder.HOSTS_PER_ROUND);
            }
        }

        /** Guards against an entry that never sends a request to the leader. */
        @Test
        void everyControlHostIsAskedInTurn() {
            Set<String> asked = new HashSet<>();
            for (int round = 0; round < 3; round++) {
                asked.addAll(order.next(hosts(6)));
            }
            assertThat(asked).containsExactlyInAnyOrderElementsOf(hosts(6));
        }
    }

    @Nested
    class FewControlHosts {
        @Test
        void theOnlyOneIsAskedOnceInEachRound() {
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
        }

        @Test
        void noneIsAskedWithoutControlHosts() {
            assertThat(order.next(List.of())).isEmpty();
        }

        /** Guards against an entry that sends no more requests once the host that it asked last has left. */
        @Test
        void continuesAfterTheLastAskedHostHasLeft() {
            order.next(hosts(6));
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
        }
    }
}
