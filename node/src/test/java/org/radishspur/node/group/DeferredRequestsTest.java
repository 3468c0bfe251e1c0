package org.radishspur.node.group;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.RecordingSender;

import static org.assertj.core.api.Assertions.assertThat;

class DeferredRequestsTest {
    private final DeferredRequests parked = new DeferredRequests();

    private void park(String entry, long nonce, long now) {
        parked.defer(new DeferredRequests.DeferredRequest(
                new RecordingSender(entry), new FleetMessage.ViewRequest(nonce, entry, 1, 0, 0, 0, List.of()), now));
    }

    private List<Long> due(boolean leaderKnown, long now) {
        return parked.removeDue(leaderKnown, now).stream()
                .map(question -> question.request().nonce())
                .toList();
    }

    @Test
    void keepsQuestionsWhileNoLeaderIsKnown() {
        park("one", 1, 0);
        assertThat(due(false, DeferredRequests.MAX_DEFERRAL_MILLIS)).isEmpty();
    }

    @Test
    void givesThemOutInTheirOrderOnceALeaderIsKnown() {
        park("one", 1, 0);
        park("two", 2, 10);
        assertThat(due(true, 20)).containsExactly(1L, 2L);
        assertThat(due(true, 20)).isEmpty();
    }

    @Test
    void keepsTheLatestQuestionOfAnEntry() {
        park("one", 1, 0);
        park("two", 2, 10);
        park("one", 3, 20);
        assertThat(due(true, 30)).containsExactly(2L, 3L);
    }

    @Test
    void givesOutWhatHasWaitedTooLong() {
        park("one", 1, 0);
        park("two", 2, 300);
        assertThat(due(false, DeferredRequests.MAX_DEFERRAL_MILLIS + 1)).containsExactly(1L);
    }
}
