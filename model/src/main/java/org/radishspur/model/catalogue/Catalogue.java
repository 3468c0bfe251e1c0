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
 * Holds routes, pools and organisations as one value; an edit is a whole new catalogue with a higher revision.
 */
public final class Catalogue {
    private final long revision;
    private final List<RouteRule> routes;
    private final Map<String, PoolRule> pools = new HashMap<>();
    private final Map<String, OrganisationRule> organisations = new HashMap<>();
    private final Map<String, OrganisationRule> organisationsByKey = new HashMap<>();
    private final Map<String, List<RouteRule>> routesByHost = new HashMap<>();
    private final Set<String> hostAndPathPrefixes = new HashSet<>();
    private final CallerLimits limits;
    private final List<TableFault> faults = new ArrayList<>();

    /**
     * Creates a catalogue, which may be invalid.
     *
     * @param revision the revision, by which newer catalogues are told from older ones.
     * @param routes the routes.
     * @param pools the pools.
     * @param organisations the organisations.
     * @param limits what callers may send.
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
        routes.forEach(this::addRoute);
        routesByHost
                .values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                                (RouteRule route) -> route.pathPrefix().length())
                        .reversed()));
    }

    /**
     * Lists what makes this catalogue invalid.
     *
     * @return the faults, none where the catalogue may be put in force.
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
     * @return the routes in the order of the document.
     */
    public List<RouteRule> routes() {
        return routes;
    }

    /**
     * Returns what callers may send.
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
     * Finds the route with the longest prefix that begins a path.
     *
     * @param host the host name that the caller asked for, perhaps with a port.
     * @param path the path without its query.
     * @return the route, or nothing where none matches.
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
     * Finds the organisation that holds a key.
     *
     * @param key the key.
     * @return the organisation, or nothing where nobody holds the key.
     */
    public Optional<OrganisationRule> holderOf(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Finds a pool.
     *
     * @param name the name of the pool.
     * @return the pool, or nothing where there is none of that name.
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

    private void addRoute(RouteRule route) {
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
