package org.radishspur.node.entry;

import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LinkLoadTest {
    private static final double BYTES_PER_SECOND = 1_000_000;
    private static final long START_MILLIS = 1_000_000_007;

    private long now = START_MILLIS;
    private final LinkLoad load = new LinkLoad(BYTES_PER_SECOND, () -> now);

    private boolean isFullAfter(long millis) {
        now = START_MILLIS + millis;
        return load.isFull();
    }

    @Test
    void isNotFullWithoutTraffic() {
        assertThat(load.isFull()).isFalse();
    }

    /** Guards against a link that counts as full for ever after one burst. */
    @Test
    void hasRoomAgainHalfASecondAfterABurst() {
        load.add(500_000);
        assertThat(load.isFull()).isTrue();
        assertThat(isFullAfter(400)).isTrue();
        assertThat(isFullAfter(501)).isFalse();
    }

    /** Guards against an entry that refuses callers although its link has room, or takes more than it carries. */
    @Property(seed = "66")
    void isFullFromABoundOn(@ForAll @IntRange(min = 1, max = 45) int intervalMillis) {
        assertThat(isFullAt(0.8, intervalMillis)).isFalse();
        assertThat(isFullAt(1.1, intervalMillis)).isTrue();
    }

    /** Returns whether a link is full that carries a share of what it can for some seconds. */
    private static boolean isFullAt(double share, int intervalMillis) {
        AtomicLong time = new AtomicLong(START_MILLIS);
        LinkLoad link = new LinkLoad(BYTES_PER_SECOND, time::get);
        boolean full = false;
        for (; time.get() < START_MILLIS + 3_000; time.addAndGet(intervalMillis)) {
            link.add((long) (share * BYTES_PER_SECOND * intervalMillis / 1_000));
            full = link.isFull();
        }
        return full;
    }

    /** Guards against more connections than the link carries requests, accepted before their requests show in its load. */
    @Test
    void isFullWhileTooManyNewConnectionsHaveNotBroughtTheirRequest() {
        for (int number = 0; number < 200; number++) {
            load.recordRequest(8_000);
        }
        for (int number = 0; number < 25; number++) {
            load.expectRequest();
        }
        assertThat(load.isFull()).isFalse();
        LinkLoad.Expected last = load.expectRequest();
        assertThat(load.isFull()).isTrue();
        last.end();
        last.end();
        assertThat(load.isFull()).isFalse();
    }

    /** Guards against connections without any request that keep an entry from accepting others. */
    @Test
    void expectsNoRequestOnConnectionsThatStayIdle() {
        for (int number = 0; number < 1_000; number++) {
            load.expectRequest();
        }
        assertThat(load.isFull()).isTrue();
        assertThat(isFullAfter(1_001)).isFalse();
    }
}
