package org.radishspur.node.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReadPausesTest {
    private final ReadPauses pauses = new ReadPauses();

    /** Guards against a pause that is measured twice, or begins anew with each part that its caller doesn't take. */
    @Test
    void measuresEachPauseOnce() {
        assertThat(pauses.begin(100)).isTrue();
        assertThat(pauses.begin(300)).isFalse();
        assertThat(pauses.isPaused()).isTrue();
        assertThat(pauses.end(500)).isEqualTo(400);
        assertThat(pauses.end(900)).isZero();
        assertThat(pauses.isPaused()).isFalse();
        pauses.begin(1_000);
        pauses.end(1_050);
        assertThat(pauses.totalMillis()).isEqualTo(450);
    }
}
