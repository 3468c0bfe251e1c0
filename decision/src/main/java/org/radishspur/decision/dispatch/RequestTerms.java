package org.radishspur.decision.dispatch;

import java.util.List;

/**
 * Holds what the route and the organisation of a request state about how it has to be served.
 *
 * @param maxPauseMillis the longest pause between two events of a stream that its caller accepts, in milliseconds; 0 for
 *     no limit.
 * @param allowedDomains the failure domains whose upstreams may run the request; empty for all.
 */
public record RequestTerms(long maxPauseMillis, List<String> allowedDomains) {
    /** States nothing. */
    public static final RequestTerms NONE = new RequestTerms(0, List.of());

    /** Copies the failure domains, and replaces what an older build doesn't send. */
    public RequestTerms {
        allowedDomains = allowedDomains == null ? List.of() : List.copyOf(allowedDomains);
    }

    /** Returns whether some failure domain may run both requests with these and requests with other terms. */
    boolean sharesDomainWith(RequestTerms other) {
        return allowedDomains.isEmpty()
                || other.allowedDomains.isEmpty()
                || allowedDomains.stream().anyMatch(other.allowedDomains::contains);
    }

    /**
     * Returns whether an upstream in a failure domain may run the request.
     *
     * @param failureDomain the failure domain of the upstream.
     * @return whether it may.
     */
    public boolean allowsDomain(String failureDomain) {
        return allowedDomains.isEmpty() || allowedDomains.contains(failureDomain);
    }
}
