package org.radishspur.model.table;

import java.util.List;

import org.radishspur.model.request.Tier;

/**
 * Describes one route: which requests it takes, to which pool and version they go, and what callers may ask for.
 *
 * @param name the name of the route.
 * @param methods the HTTP methods that the route takes, or none for all.
 * @param pathPrefix the beginning of the paths that the route takes; the longest match wins.
 * @param pool the name of the pool that serves the route.
 * @param idempotent whether a request of this route may be run twice without harm.
 * @param keyRequired whether a request without an idempotency key is refused.
 * @param defaultTier the tier of a request that asks for none.
 * @param tierCeiling the most urgent tier that a request may ask for.
 * @param defaultDeadlineMillis the time in milliseconds that a request has if it asks for none.
 * @param deadlineCeilingMillis the longest time in milliseconds that a request may ask for.
 * @param bodyLimitBytes the largest body in bytes.
 * @param version the upstream version that the route is to use, or an empty text for whatever runs.
 * @param completeByMillis the time, in milliseconds since the epoch, by which the route is to be on its version, or 0.
 */
public record RouteRow(
        String name,
        List<String> methods,
        String pathPrefix,
        String pool,
        boolean idempotent,
        boolean keyRequired,
        Tier defaultTier,
        Tier tierCeiling,
        long defaultDeadlineMillis,
        long deadlineCeilingMillis,
        long bodyLimitBytes,
        String version,
        long completeByMillis) {

    /** Copies the methods, and stands in empty values where a table file leaves them out. */
    public RouteRow {
        methods = methods == null ? List.of() : List.copyOf(methods);
        version = version == null ? "" : version;
    }

    /**
     * Returns whether the route takes a request.
     *
     * @param method the HTTP method of the request.
     * @param path the path of the request, without its query.
     * @return whether both match.
     */
    public boolean matches(String method, String path) {
        return path.startsWith(pathPrefix) && (methods.isEmpty() || methods.contains(method));
    }
}
