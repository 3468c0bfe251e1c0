package org.radishspur.decision.dispatch;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.radishspur.model.catalogue.OrganisationRule;

import static org.assertj.core.api.Assertions.assertThat;

class EntryQuotasTest {
    private static final long WINDOW_MILLIS = 8_000;
    private static final OrganisationRule SHARE = new OrganisationRule("fleet", Set.of("key"), 0, 100, 200, true, 10);

    private final EntryQuotas quotas = new EntryQuotas(WINDOW_MILLIS);

    /** Guards against a scheduler that has just started and is not informed of a part of the use. */
    @Test
    void statesWhatSchedulersAndTheEntryItselfHaveGranted() {
        quotas.recordGrantElsewhere(SHARE, 70, 0);
        quotas.recordLocalGrant("fleet", 30, 1_000);
        assertThat(quotas.recentUse(1_000).get("fleet").total()).isEqualTo(100);
        assertThat(quotas.recentUse(WINDOW_MILLIS + 200).get("fleet").total()).isEqualTo(30);
        assertThat(quotas.recentUse(WINDOW_MILLIS + 1_200)).isEmpty();
    }

    @Test
    void reportsWhatItHasGrantedItselfOnce() {
        quotas.recordGrantElsewhere(SHARE, 70, 0);
        assertThat(quotas.hasUnreportedUse()).isFalse();
        quotas.recordLocalGrant("fleet", 30, 1_000);
        assertThat(quotas.takeUnreportedUse(1_000).get("fleet").total()).isEqualTo(30);
        assertThat(quotas.hasUnreportedUse()).isFalse();
    }

    @Test
    void collectsNothingWhereLimitsAreNotMeasuredOverAWindow() {
        EntryQuotas buckets = new EntryQuotas(0);
        buckets.recordGrantElsewhere(SHARE, 70, 0);
        buckets.recordLocalGrant("fleet", 30, 0);
        assertThat(buckets.recentUse(0)).isEmpty();
        assertThat(buckets.hasUnreportedUse()).isFalse();
    }
}
