package org.radishspur.node.group;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.RecordingSender;

import static org.assertj.core.api.Assertions.assertThat;

class ParkedQuestionsTest {
    private final ParkedQuestions parked = new ParkedQuestions();

    private void park(String entry, long nonce, long now) {
        parked.park(new ParkedQuestions.Parked(
                new RecordingSender(entry), new FleetMessage.Follow(nonce, entry, 1, 0, 0, 0, List.of()), now));
    }

    private List<Long> due(boolean leaderKnown, long now) {
        return parked.due(leaderKnown, now).stream()
                .map(question -> question.question().nonce())
                .toList();
    }

    @Test
    void keepsQuestionsWhileNoLeaderIsKnown() {
        park("one", 1, 0);
        assertThat(due(false, ParkedQuestions.PARKED_MILLIS)).isEmpty();
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
        assertThat(due(false, ParkedQuestions.PARKED_MILLIS + 1)).containsExactly(1L);
    }
}
