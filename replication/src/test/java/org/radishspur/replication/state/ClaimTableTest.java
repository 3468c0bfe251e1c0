package org.radishspur.replication.state;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.radishspur.model.request.RequestKey;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimTableTest {
    private static final long RETENTION_MILLIS = 1_000;
    private static final RequestKey KEY = new RequestKey("crew", "haul-7");
    private static final ClaimHolder FIRST = new ClaimHolder("a", 1, 1);
    private static final ClaimHolder SECOND = new ClaimHolder("b", 1, 1);
    private static final StoredAnswer ANSWER =
            new StoredAnswer(201, "text/plain", "done".getBytes(StandardCharsets.UTF_8), true);

    private final ClaimTable table = new ClaimTable(RETENTION_MILLIS);

    private ClaimAnswer claim(ClaimHolder holder, String fingerprint, long at) {
        return table.claim(new ControlCommand.Claim(KEY, fingerprint, holder, at));
    }

    @Test
    void theFirstAttemptIsGranted() {
        assertThat(claim(FIRST, "x", 0)).isInstanceOf(ClaimAnswer.Granted.class);
    }

    @Test
    void theSameAttemptIsGrantedAgain() {
        claim(FIRST, "x", 0);
        assertThat(claim(FIRST, "x", 1)).isInstanceOf(ClaimAnswer.Granted.class);
    }

    /** Guards against a request that runs twice and counts twice towards the quota of its organisation. */
    @Test
    void anotherAttemptNeverTakesAClaimOver() {
        claim(FIRST, "x", 0);
        assertThat(claim(SECOND, "x", RETENTION_MILLIS - 1)).isEqualTo(new ClaimAnswer.Held(FIRST));
    }

    @Test
    void aRetryOfAFinishedRequestGetsItsAnswer() {
        claim(FIRST, "x", 0);
        table.finish(new ControlCommand.FinishClaim(KEY, FIRST, ANSWER, 1));
        assertThat(claim(SECOND, "x", 2)).isEqualTo(new ClaimAnswer.Finished(ANSWER));
    }

    @Test
    void aReleasedRequestMayBeClaimedByAnother() {
        claim(FIRST, "x", 0);
        table.release(new ControlCommand.ReleaseClaim(KEY, FIRST, 1));
        assertThat(claim(SECOND, "x", 2)).isInstanceOf(ClaimAnswer.Granted.class);
    }

    /** Guards against retries that are refused as in progress until the key expires. */
    @Test
    void aDelayedDuplicateOfAReleasedClaimIsRefused() {
        claim(FIRST, "x", 0);
        table.release(new ControlCommand.ReleaseClaim(KEY, FIRST, 1));
        assertThat(claim(FIRST, "x", 2)).isInstanceOf(ClaimAnswer.Withdrawn.class);
        assertThat(claim(SECOND, "x", 3)).isInstanceOf(ClaimAnswer.Granted.class);
    }

    @Test
    void onlyTheHolderCanReleaseOrFinish() {
        claim(FIRST, "x", 0);
        table.release(new ControlCommand.ReleaseClaim(KEY, SECOND, 1));
        table.finish(new ControlCommand.FinishClaim(KEY, SECOND, ANSWER, 1));
        assertThat(claim(SECOND, "x", 2)).isEqualTo(new ClaimAnswer.Held(FIRST));
    }

    @Test
    void aKeyWithOtherContentIsRefused() {
        claim(FIRST, "x", 0);
        assertThat(claim(SECOND, "y", 1)).isInstanceOf(ClaimAnswer.KeyReused.class);
    }

    @Test
    void aKeyIsRemovedAfterTheRetentionTime() {
        claim(FIRST, "x", 0);
        assertThat(claim(SECOND, "x", RETENTION_MILLIS)).isInstanceOf(ClaimAnswer.Granted.class);
    }

    @Test
    void aSnapshotKeepsAFinishedClaim() {
        claim(FIRST, "x", 5);
        table.finish(new ControlCommand.FinishClaim(KEY, FIRST, ANSWER, 6));
        ClaimTable restored = new ClaimTable(RETENTION_MILLIS, table.image());
        assertThat(restored.claim(new ControlCommand.Claim(KEY, "x", SECOND, 7)))
                .isEqualTo(new ClaimAnswer.Finished(ANSWER));
    }
}
