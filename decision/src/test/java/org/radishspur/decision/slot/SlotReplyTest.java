package org.radishspur.decision.slot;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SlotReplyTest {
    private static final long LEFT_MILLIS = 12_000;
    private static final long UNTIL_TARGET_MILLIS = 1_000;

    /** Guards against callers that are refused for overload together and return together. */
    @Test
    void spreadsCallersThatAreRefusedForOverload() {
        SlotReply.Rejected rejected = new SlotReply.Rejected(SlotReply.Reason.OVERLOAD, 500);
        assertThat(rejected.callerRetryAfterMillis(LEFT_MILLIS, UNTIL_TARGET_MILLIS, 0))
                .isEqualTo(3_600);
        assertThat(rejected.callerRetryAfterMillis(LEFT_MILLIS, UNTIL_TARGET_MILLIS, 1))
                .isEqualTo(3_960);
    }

    /** Guards against a caller that waits for seconds although its quota has room sooner. */
    @Test
    void callerWithoutQuotaIsToldWhenThereIsRoom() {
        SlotReply.Rejected rejected = new SlotReply.Rejected(SlotReply.Reason.QUOTA, 200);
        assertThat(rejected.callerRetryAfterMillis(LEFT_MILLIS, UNTIL_TARGET_MILLIS, 0))
                .isEqualTo(200);
    }
}
