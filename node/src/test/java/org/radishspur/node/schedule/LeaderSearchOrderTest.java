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
        /** Guards against control hosts that are asked by all entries in every round while they elect a leader. */
        @Test
        void eachRoundAsksAFewControlHosts() {
            for (int round = 0; round < 20; round++) {
                assertThat(order.next(hosts(16))).hasSize(LeaderSearchOrder.HOSTS_PER_ROUND);
            }
        }

        /** Guards against an entry that never asks the control host that leads. */
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
        void theOnlyOneIsAskedOnceARound() {
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
        }

        @Test
        void noneIsNobodyToAsk() {
            assertThat(order.next(List.of())).isEmpty();
        }

        /** Guards against an entry that stops asking when the host it asked last has left. */
        @Test
        void goesOnAfterTheLastAskedHasLeft() {
            order.next(hosts(6));
            assertThat(order.next(hosts(1))).isEqualTo(hosts(1));
        }
    }
}
