package org.radishspur.decision.region;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AllowedRegionsTest {
    private static final RegionMap REGIONS =
            new RegionMap("north", Map.of("n1", "north", "n2", "north", "s1", "south"));

    @Test
    void areUnlimitedWhereNothingIsStated() {
        assertThat(AllowedRegions.of(Set.of(), Set.of())).isEqualTo(AllowedRegions.EVERYWHERE);
        assertThat(REGIONS.allowsAnyHost(AllowedRegions.EVERYWHERE)).isTrue();
        assertThat(RegionMap.NONE.allowsAnyHost(AllowedRegions.EVERYWHERE)).isTrue();
    }

    @Test
    void areThoseOfTheOneThatStatesSome() {
        assertThat(REGIONS.domainsIn(AllowedRegions.of(Set.of("north"), Set.of())))
                .containsExactly("n1", "n2");
        assertThat(REGIONS.domainsIn(AllowedRegions.of(Set.of(), Set.of("south"))))
                .containsExactly("s1");
    }

    /** Guards against a request that the route's regions let leave the regions of its organisation. */
    @Test
    void haveToSatisfyBoth() {
        AllowedRegions both = AllowedRegions.of(Set.of("north", "south"), Set.of("south", "west"));
        assertThat(both.regions()).containsExactly("south");
    }

    /** Guards against two statements without a common region that count as none. */
    @Test
    void allowNoDomainWhereBothHaveNoneInCommon() {
        AllowedRegions none = AllowedRegions.of(Set.of("north"), Set.of("south"));
        assertThat(none.limited()).isTrue();
        assertThat(REGIONS.domainsIn(none)).isEmpty();
    }

    /** Guards against a failure domain of an unknown region that counts as allowed. */
    @Test
    void allowNoDomainWhoseRegionIsNotKnown() {
        AllowedRegions north = AllowedRegions.of(Set.of("north"), Set.of());
        assertThat(RegionMap.NONE.domainsIn(north)).isEmpty();
        assertThat(RegionMap.NONE.allowsAnyHost(north)).isFalse();
    }

    /** Guards against a body that passes through a host in a region that is neither allowed nor the caller's own. */
    @Test
    void allowAnyHostOnlyWhereAllDomainsAreAllowedOrOwn() {
        assertThat(REGIONS.allowsAnyHost(AllowedRegions.of(Set.of("north"), Set.of())))
                .isFalse();
        assertThat(REGIONS.allowsAnyHost(AllowedRegions.of(Set.of("south"), Set.of())))
                .isTrue();
    }
}
