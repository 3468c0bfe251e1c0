package org.radishspur.decision.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests with the load of a pool of two upstreams with four slots each. */
class UnusedSlotTimeTest {
    private static final long NOW = 10_000;

    private final UnusedSlotTime unused = new UnusedSlotTime();
    private final UpstreamPool pool = new UpstreamPool("scheduler", "a", 4);

    private static Upstream upstream(String id) {
        return new Upstream(id, 1, "pool", "10.0.0.1:80", "a", "v1", 4, false, false);
    }

    private void record(int calls, long takenMillis, long runMillis) {
        for (int call = 0; call < calls; call++) {
            unused.record(takenMillis, runMillis);
            pool.recordSlotTimes(true, takenMillis, runMillis);
        }
    }

    private int grants() {
        return grants(0);
    }

    private int grants(long promptTokens) {
        pool.refresh(List.of(upstream("one"), upstream("two")));
        pool.loads().forEach(load -> load.recordEventTime(60, 1));
        int granted = 0;
        while (pool.choose(queued(promptTokens), 0, NOW).stream()
                .peek(load -> load.recordSent(new Object(), 0, NOW))
                .findAny()
                .isPresent()) {
            granted++;
        }
        return granted;
    }

    private static QueuedRequest queued(long promptTokens) {
        return new QueuedRequest(
                "r",
                0,
                NOW,
                NOW + 200,
                VersionRule.Any.INSTANCE,
                new QueuedRequest.Requirements(promptTokens, 0, 0, NOW + 400, NOW + 3_000));
    }

    /** Guards against upstreams that get more than their slots where every end is counted at once. */
    @Test
    void addsNoSlotWhereCallsAreCountedOnlyWhileTheyRun() {
        assertThat(unused.unusedSlots(6)).isZero();
        record(100, 60, 60);
        assertThat(unused.unusedSlots(6)).isZero();
        record(100, 61, 60);
        assertThat(unused.unusedSlots(6)).isZero();
    }

    /** Guards against slots that are idle for the time that grants and reports are on their way. */
    @Test
    void addsAsManySlotsAsAreIdle() {
        record(100, 90, 60);
        assertThat(unused.unusedSlots(6)).isEqualTo(3);
    }

    /** Guards against upstreams that get too much after a start, because the first calls had to wait for connections. */
    @Test
    void addsNoSlotBeforeEnoughCallsAreMeasured() {
        record(5, 5_000, 60);
        assertThat(unused.unusedSlots(6)).isZero();
    }

    /** Guards against upstreams that get a multiple of their slots while entries stall. */
    @Test
    void atMostDoublesTheSlots() {
        record(100, 5_000, 60);
        assertThat(unused.unusedSlots(6)).isEqualTo(6);
    }

    /** Guards against upstreams that get too much for seconds because this process has stalled once. */
    @Test
    void addsNoSlotAfterAStallOfAllCallsInProgress() {
        record(200, 60, 60);
        record(50, 5_000, 60);
        assertThat(unused.unusedSlots(6)).isZero();
    }

    /** Guards against a call that seems to run for longer than it was counted, by the clocks of two hosts. */
    @Test
    void ignoresACallThatRanForLongerThanItWasCounted() {
        record(100, 40, 60);
        assertThat(unused.unusedSlots(6)).isZero();
    }

    /** Guards against a pool that measures idle slots but doesn't fill them. */
    @Test
    void letsAPoolSendAsMuchAsFillsItsSlots() {
        record(100, 90, 60);
        assertThat(grants()).isEqualTo(12);
    }

    /** Guards against streams that are delayed inside engines, because calls beside them leave slots idle. */
    @Test
    void givesStreamsNoMoreThanTheSlots() {
        record(100, 90, 60);
        assertThat(grants(1_000)).isEqualTo(8);
    }

    /** Guards against slots that are added for streams, which fill theirs. */
    @Test
    void measuresNothingForStreams() {
        for (int stream = 0; stream < 100; stream++) {
            pool.recordSlotTimes(false, 90, 60);
        }
        assertThat(grants()).isEqualTo(8);
    }
}
