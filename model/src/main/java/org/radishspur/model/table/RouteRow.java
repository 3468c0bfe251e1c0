package org.radishspur.model.table;

import java.util.List;

import org.radishspur.model.request.Tier;

/**
 * Describes one route: which requests it matches, which pool and version serve them, and what callers may request.
 *
 * @param name the name of the route.
 * @param methods the HTTP methods that the route matches, or an empty list for all.
 * @param pathPrefix the prefix of the paths that the route matches; the longest matching prefix takes precedence.
 * @param pool the name of the pool that serves the route.
 * @param idempotent whether a request of this route may safely run more than once.
 * @param keyRequired whether a request without an idempotency key is refused.
 * @param defaultTier the tier of a request that states none.
 * @param tierCeiling the most urgent tier that a request may have.
 * @param defaultDeadlineMillis the time until the deadline of a request that states none, in milliseconds.
 * @param deadlineCeilingMillis the maximum time until the deadline that a request may have, in milliseconds.
 * @param bodyLimitBytes the maximum size of a request body, in bytes.
 * @param version the upstream version that the route is to use, or an empty text for any version.
 * @param completeByMillis the time by which all requests of the route are to use its version, in milliseconds since the
 *     epoch, or 0 for a default time.
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

    /** Copies the methods; methods or a version that a table file leaves out become empty. */
    public RouteRow {
        methods = methods == null ? List.of() : List.copyOf(methods);
        version = version == null ? "" : version;
    }

    /**
     * Returns whether the route matches a request.
     *
     * @param method the HTTP method of the request.
     * @param path the path of the request, without its query.
     * @return whether both the method and the path match.
     */
    public boolean matches(String method, String path) {
        return path.startsWith(pathPrefix) && (methods.isEmpty() || methods.contains(method));
    }
}
