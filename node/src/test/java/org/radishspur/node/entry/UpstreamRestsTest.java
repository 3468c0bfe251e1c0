package org.radishspur.node.entry;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.slot.UpstreamRest;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamRestsTest {
    private static final long NOW = 5_000;

    private final UpstreamRests rests = new UpstreamRests();

    @Test
    void namesAnUpstreamUntilItsRestEnds() {
        rests.record("one", 3_000, NOW);
        assertThat(rests.isResting("one", NOW + 2_999)).isTrue();
        assertThat(rests.isResting("two", NOW)).isFalse();
        assertThat(rests.current(NOW + 1_000)).containsExactly(new UpstreamRest("one".hashCode(), 2_000));
        assertThat(rests.isResting("one", NOW + 3_000)).isFalse();
        assertThat(rests.current(NOW + 3_000)).isEmpty();
    }

    /** Guards against a later, shorter request for rest, or an answer without one, that ends a longer rest. */
    @Test
    void keepsTheRestThatEndsLast() {
        rests.record("one", 3_000, NOW);
        rests.record("one", 500, NOW + 100);
        rests.record("one", 0, NOW + 200);
        assertThat(rests.isResting("one", NOW + 2_999)).isTrue();
    }
}
