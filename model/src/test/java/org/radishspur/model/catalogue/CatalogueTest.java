package org.radishspur.model.catalogue;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CatalogueTest {
    private static final PoolRule POOL = new PoolRule("engines", 100, 4, true);

    private static RouteRule route(String name, String prefix, long timeout, PoolShare... shares) {
        return new RouteRule(
                name,
                "host.example",
                prefix,
                RequestKind.STREAM,
                timeout,
                400,
                200,
                0,
                List.of(shares),
                1,
                false,
                true,
                Set.of());
    }

    private static Catalogue catalogue(List<RouteRule> routes, OrganisationRule... organisations) {
        return new Catalogue(1, routes, List.of(POOL), List.of(organisations), CallerLimits.DEFAULTS);
    }

    private static OrganisationRule organisation(String name, String key) {
        return new OrganisationRule(name, Set.of(key), 0, 0, 0, true, 1);
    }

    private static final PoolShare ALL = new PoolShare("engines", 1);

    @Nested
    class Matching {
        private final Catalogue catalogue =
                catalogue(List.of(route("short", "/a/", 1, ALL), route("long", "/a/b/", 1, ALL)));

        @Test
        void choosesTheRouteWithTheLongestPathPrefix() {
            assertThat(catalogue.match("host.example", "/a/b/c")).get().returns("long", RouteRule::name);
        }

        @Test
        void ignoresThePortOfTheHost() {
            assertThat(catalogue.match("HOST.example:8080", "/a/c")).get().returns("short", RouteRule::name);
        }

        @Test
        void findsNoRouteForAnotherHost() {
            assertThat(catalogue.match("other.example", "/a/b/c")).isEmpty();
        }
    }

    @Nested
    class Faults {
        @Test
        void areEmptyForAValidCatalogue() {
            assertThat(catalogue(List.of(route("r", "/a/", 1, ALL))).faults()).isEmpty();
        }

        @Test
        void reportAShareOfAnUnknownPool() {
            assertThat(catalogue(List.of(route("r", "/a/", 1, new PoolShare("none", 1))))
                            .faults())
                    .hasSize(1);
        }

        @Test
        void reportTwoRoutesWithTheSameHostAndPathPrefix() {
            assertThat(catalogue(List.of(route("r", "/a/", 1, ALL), route("s", "/a/", 1, ALL)))
                            .faults())
                    .hasSize(1);
        }

        @Test
        void reportSharesWhoseWeightsAddUpToZero() {
            assertThat(catalogue(List.of(route("r", "/a/", 1, new PoolShare("engines", 0))))
                            .faults())
                    .hasSize(1);
        }

        @Test
        void reportARouteWithATimeoutOfZero() {
            assertThat(catalogue(List.of(route("r", "/a/", 0, ALL))).faults()).hasSize(1);
        }

        @Test
        void reportAKeyThatBelongsToTwoOrganisations() {
            assertThat(catalogue(List.of(), organisation("one", "key"), organisation("two", "key"))
                            .faults())
                    .hasSize(1);
        }
    }

    @Nested
    class TrafficSplit {
        @Test
        void choosesPoolsByTheirWeights() {
            RouteRule split = route("r", "/a/", 1, new PoolShare("one", 90), new PoolShare("two", 10));
            assertThat(split.choosePool(0.0)).isEqualTo("one");
            assertThat(split.choosePool(0.89)).isEqualTo("one");
            assertThat(split.choosePool(0.91)).isEqualTo("two");
        }
    }
}
