package org.radishspur.model.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspur.model.table.TableFault;

/**
 * Holds the configured routes, pools, organisations and caller limits at one revision. A catalogue is never edited in
 * place: each change is a complete new catalogue with a higher revision.
 */
public final class Catalogue {
    private final long revision;
    private final List<RouteRule> routes;
    private final Map<String, PoolRule> pools = new HashMap<>();
    private final Map<String, OrganisationRule> organisations = new HashMap<>();
    private final Map<String, OrganisationRule> organisationsByKey = new HashMap<>();
    private final Map<String, List<RouteRule>> routesByHost = new HashMap<>();
    private final CallerLimits limits;
    private final List<TableFault> faults = new ArrayList<>();

    /**
     * Creates a catalogue and validates it; {@link #faults()} lists what is invalid.
     *
     * @param revision the revision, which is higher in newer catalogues.
     * @param routes the routes.
     * @param pools the pools.
     * @param organisations the organisations.
     * @param limits the limits on callers' requests.
     */
    public Catalogue(
            long revision,
            List<RouteRule> routes,
            List<PoolRule> pools,
            List<OrganisationRule> organisations,
            CallerLimits limits) {
        this.revision = revision;
        this.routes = List.copyOf(routes);
        this.limits = limits;
        pools.forEach(this::addPool);
        organisations.forEach(this::addOrganisation);
        Set<String> hostAndPathPrefixes = new HashSet<>();
        routes.forEach(route -> addRoute(route, hostAndPathPrefixes));
        routesByHost
                .values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                                (RouteRule route) -> route.pathPrefix().length())
                        .reversed()));
    }

    /**
     * Returns the validation errors of this catalogue.
     *
     * @return the faults, empty if the catalogue is valid and may be applied.
     */
    public List<TableFault> faults() {
        return List.copyOf(faults);
    }

    /**
     * Returns the revision.
     *
     * @return the revision.
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the routes.
     *
     * @return the routes in the order in which they were configured.
     */
    public List<RouteRule> routes() {
        return routes;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits.
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the organisations by name.
     *
     * @return the organisations.
     */
    public Map<String, OrganisationRule> organisations() {
        return organisations;
    }

    /**
     * Finds the route for a request; among several matching routes, the one with the longest path prefix is returned.
     *
     * @param host the host name in the request, optionally with a port.
     * @param path the request path without its query.
     * @return the route, or empty if none matches.
     */
    public Optional<RouteRule> match(String host, String path) {
        List<RouteRule> candidates = routesByHost.getOrDefault(hostWithoutPort(host), List.of());
        for (RouteRule route : candidates) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the organisation that an API key belongs to.
     *
     * @param key the API key.
     * @return the organisation, or empty if no organisation has this key.
     */
    public Optional<OrganisationRule> organisationByKey(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Finds a pool by its name.
     *
     * @param name the name of the pool.
     * @return the pool, or empty if no pool has this name.
     */
    public Optional<PoolRule> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    private void addPool(PoolRule pool) {
        if (pools.put(pool.name(), pool) != null) {
            faults.add(new TableFault("pools." + pool.name(), "is described twice"));
        }
    }

    private void addOrganisation(OrganisationRule organisation) {
        if (organisations.put(organisation.name(), organisation) != null) {
            faults.add(new TableFault("organisations." + organisation.name(), "is described twice"));
        }
        for (String key : organisation.keys()) {
            if (organisationsByKey.put(key, organisation) != null) {
                faults.add(new TableFault(
                        "organisations." + organisation.name() + ".keys", "a key belongs to another organisation too"));
            }
        }
    }

    private void addRoute(RouteRule route, Set<String> hostAndPathPrefixes) {
        String path = "routes." + route.name();
        if (route.timeoutMillis() <= 0) {
            faults.add(new TableFault(path + ".timeout", "must be above 0"));
        }
        boolean negative = route.shares().stream().anyMatch(share -> share.weight() < 0);
        if (negative || route.shares().stream().mapToDouble(PoolShare::weight).sum() <= 0) {
            faults.add(new TableFault(path + ".shares", "must have weights whose sum is above 0"));
        }
        for (PoolShare share : route.shares()) {
            if (!pools.containsKey(share.pool())) {
                faults.add(new TableFault(path + ".shares", "names no pool: " + share.pool()));
            }
        }
        if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
            faults.add(new TableFault(path + ".pathPrefix", "must begin and end with /"));
        }
        String host = hostWithoutPort(route.host());
        if (!hostAndPathPrefixes.add(host + route.pathPrefix())) {
            faults.add(new TableFault(path + ".pathPrefix", "another route has the same host and prefix"));
        }
        routesByHost.computeIfAbsent(host, key -> new ArrayList<>()).add(route);
    }

    private static String hostWithoutPort(String host) {
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > 0 && host.indexOf(']') < colon;
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }
}
