package org.radishspur.node.group;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.RecordingSender;

import static org.assertj.core.api.Assertions.assertThat;

class DeferredRequestsTest {
    private final DeferredRequests deferredRequests = new DeferredRequests();

    private void defer(String entry, long nonce, long now) {
        deferredRequests.defer(new DeferredRequests.DeferredRequest(
                new RecordingSender(entry),
                new FleetMessage.ViewRequest(
                        nonce, entry, 1, 0, 0, 0, List.of(), FleetMessage.UpstreamReach.NO_RELAY, List.of(), List.of()),
                now));
    }

    private List<Long> removeDue(boolean leaderKnown, long now) {
        return deferredRequests.removeDue(leaderKnown, now).stream()
                .map(deferred -> deferred.request().nonce())
                .toList();
    }

    @Test
    void keepsRequestsWhileNoLeaderIsKnown() {
        defer("one", 1, 0);
        assertThat(removeDue(false, DeferredRequests.MAX_DEFERRAL_MILLIS)).isEmpty();
    }

    @Test
    void returnsRequestsInOrderOnceALeaderIsKnown() {
        defer("one", 1, 0);
        defer("two", 2, 10);
        assertThat(removeDue(true, 20)).containsExactly(1L, 2L);
        assertThat(removeDue(true, 20)).isEmpty();
    }

    @Test
    void keepsOnlyTheLatestRequestOfAnEntry() {
        defer("one", 1, 0);
        defer("two", 2, 10);
        defer("one", 3, 20);
        assertThat(removeDue(true, 30)).containsExactly(2L, 3L);
    }

    @Test
    void returnsRequestsThatHaveWaitedTooLong() {
        defer("one", 1, 0);
        defer("two", 2, 300);
        assertThat(removeDue(false, DeferredRequests.MAX_DEFERRAL_MILLIS + 1)).containsExactly(1L);
    }
}
