package org.radishspur.model.table;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the tables of routes and pools at one revision; immutable, as each edit creates a new instance.
 *
 * @param revision the number of edits that have been accepted.
 * @param routes the routes by name.
 * @param pools the pools by name.
 */
public record Tables(long revision, Map<String, Revisioned<RouteRow>> routes, Map<String, Revisioned<PoolRow>> pools) {
    /** The empty tables before the first edit. */
    public static final Tables EMPTY = new Tables(0, Map.of(), Map.of());

    /** Copies both maps, sorted by name. */
    public Tables {
        routes = java.util.Collections.unmodifiableMap(new TreeMap<>(routes));
        pools = java.util.Collections.unmodifiableMap(new TreeMap<>(pools));
    }

    /**
     * Finds the route for a request. The longest matching path prefix takes precedence, and among equal prefixes the
     * route whose name comes first.
     *
     * @param method the HTTP method of the request.
     * @param path the path of the request, without its query.
     * @return the route, or empty if none matches.
     */
    public Optional<RouteRow> match(String method, String path) {
        RouteRow best = null;
        for (Revisioned<RouteRow> candidate : routes.values()) {
            RouteRow row = candidate.row();
            if (row.matches(method, path)
                    && (best == null
                            || row.pathPrefix().length() > best.pathPrefix().length())) {
                best = row;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Finds a pool by its name.
     *
     * @param name the name of the pool.
     * @return the pool, or empty if no pool has this name.
     */
    public Optional<PoolRow> pool(String name) {
        return Optional.ofNullable(pools.get(name)).map(Revisioned::row);
    }
}
