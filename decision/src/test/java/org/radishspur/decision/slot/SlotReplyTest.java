package org.radishspur.decision.slot;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SlotReplyTest {
    private static final long LEFT_MILLIS = 12_000;

    /** Guards against a caller that is told another time than the one chosen for it. */
    @Test
    void callerIsToldTheScheduledTime() {
        assertThat(new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, 500, 1, 1, true)
                        .callerRetryAfterMillis(LEFT_MILLIS, 1))
                .isEqualTo(500);
    }

    /** Guards against callers that return together, where the scheduler has chosen no time for each. */
    @Test
    void callerWithoutAScheduledTimeIsToldASpreadOne() {
        SlotReply.Rejected rejected = new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, 500);
        assertThat(rejected.callerRetryAfterMillis(LEFT_MILLIS, 0)).isEqualTo(3_600);
        assertThat(rejected.callerRetryAfterMillis(LEFT_MILLIS, 1)).isEqualTo(3_960);
    }

    /** Guards against a caller that waits for seconds although its quota has room sooner. */
    @Test
    void callerWithoutQuotaIsToldWhenThereIsRoom() {
        assertThat(new SlotReply.Rejected(SlotReply.Reason.QUOTA, 200).callerRetryAfterMillis(LEFT_MILLIS, 0))
                .isEqualTo(200);
    }
}
