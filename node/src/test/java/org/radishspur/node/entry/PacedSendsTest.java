package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PacedSendsTest {
    private static final long CHECK_MILLIS = 50;
    private static final long SEND_MILLIS = 40;

    private final List<Integer> sent = new ArrayList<>();
    private long now;
    private final PacedSends sends = new PacedSends(CHECK_MILLIS, () -> now);

    private void send(int number) {
        sends.send(() -> {
            sent.add(number);
            now += SEND_MILLIS;
        });
    }

    @Test
    void areNotDelayedWhileTheThreadReads() {
        for (int number = 0; number < 10; number++) {
            sends.onRead();
            send(number);
        }
        assertThat(sent).hasSize(10);
    }

    /** Guards against requests that are sent in one go for longer than a caller's close may go unread. */
    @Test
    void pauseForTheNextRead() {
        for (int number = 0; number < 10; number++) {
            send(number);
        }
        assertThat(sent).containsExactly(0, 1, 2, 3);
        sends.onRead();
        assertThat(sent).containsExactly(0, 1, 2, 3, 4, 5, 6);
        sends.onRead();
        assertThat(sent).containsExactly(0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
    }

    /** Guards against requests that wait for good where each turn of the thread is long. */
    @Test
    void goOnHoweverLongEachTurnIs() {
        now = 10_000;
        send(0);
        assertThat(sent).isEmpty();
        sends.onRead();
        assertThat(sent).containsExactly(0);
    }

    /** Guards against a request that overtakes those that wait. */
    @Test
    void keepTheirOrder() {
        now = 10_000;
        send(0);
        sends.onIdle();
        send(1);
        assertThat(sent).isEmpty();
        sends.onRead();
        assertThat(sent).containsExactly(0, 1);
    }
}
