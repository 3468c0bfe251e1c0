package org.radishspur.node.entry;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.radishspur.decision.region.RegionMap;
import org.radishspur.model.catalogue.RequestKind;
import org.radishspur.node.entry.EntryFixture.ReceivedResponse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that leave the regions of their route. The upstreams are in failure domain a.
 */
class AllowedRegionsAtEntryTest {
    private static final RegionMap TWO_REGIONS = new RegionMap("north", Map.of("a", "north", "b", "south"));

    private static EntryFixture entry(RegionMap regions, String... allowed) {
        return new EntryFixture(RequestKind.UNSAFE, false, 2, Set.of(allowed), regions);
    }

    private static void assertServed(EntryFixture entry) {
        entry.exchange(0).sendHead(200);
        entry.exchange(0).sendBody("answer");
        entry.exchange(0).complete();
        assertThat(entry.received()).isEqualTo(new ReceivedResponse(200, "answer", true));
    }

    @Test
    void servesARequestInAnAllowedRegion() {
        try (EntryFixture entry = entry(TWO_REGIONS, "north")) {
            entry.request();
            assertServed(entry);
        }
    }

    /** Guards against a region without a failure domain that counts as no limit. */
    @Test
    void refusesARequestWhoseRegionHasNoKnownFailureDomain() {
        try (EntryFixture entry = entry(TWO_REGIONS, "west")) {
            entry.request();
            ReceivedResponse refused = entry.received();
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.body()).contains("region-unavailable");
            assertThat(entry.exchanges()).isZero();
        }
    }

    @Test
    void sendsNothingToUpstreamsOutsideOfTheAllowedRegions() {
        try (EntryFixture entry = entry(TWO_REGIONS, "south")) {
            entry.request();
            entry.elapse(11_000);
            assertThat(entry.received().status()).isEqualTo(503);
            assertThat(entry.exchanges()).isZero();
        }
    }

    /** Guards against a request that is sent by the regions of tables which have changed while it connected. */
    @Test
    void sendsNothingAfterTheRegionsOfTheRouteHaveChanged() {
        try (EntryFixture entry = entry(TWO_REGIONS, "north")) {
            entry.delayConnections();
            entry.request();
            entry.allowRegions(Set.of("south"));
            entry.exchange(0).connect();
            assertThat(entry.exchange(0).isRequestSent()).isFalse();
            assertThat(entry.received().status()).isEqualTo(503);
        }
    }

    /** Guards against a body that passes through an entry whose region may not be allowed. */
    @Test
    void relaysOnlyWhereEveryHostIsAllowed() {
        try (EntryFixture entry = entry(TWO_REGIONS, "north")) {
            entry.request();
            assertThat(entry.exchange(0).isRelayable()).isFalse();
        }
        try (EntryFixture entry = entry(TWO_REGIONS, "north", "south")) {
            entry.request();
            assertThat(entry.exchange(0).isRelayable()).isTrue();
        }
    }

    @Test
    void servesAsBeforeWhereNothingIsStated() {
        try (EntryFixture entry = entry(RegionMap.NONE)) {
            entry.request();
            assertThat(entry.exchange(0).isRelayable()).isTrue();
            assertServed(entry);
        }
    }
}
