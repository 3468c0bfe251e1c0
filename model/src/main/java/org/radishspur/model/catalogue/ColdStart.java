package org.radishspur.model.catalogue;

import java.util.Objects;

/**
 * Limits the request rate of a pool's upstreams while they warm up after a start.
 *
 * @param durationMillis the duration of the warm-up after a start, in milliseconds; 0 for no limit.
 * @param requestsPerSecond the maximum number of requests per second during the warm-up; a much higher rate crashes the
 *     upstream.
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {
    /** The value for pools whose upstreams can take their full load immediately after a start. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    /**
     * Returns whether the request rate is limited after a start.
     *
     * @return whether there is a warm-up with a limit.
     */
    public boolean isLimited() {
        return durationMillis > 0;
    }

    /**
     * {@inheritDoc} Written by hand, because the generated method of a record is linked at run time, at each process
     * start.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof ColdStart start
                && durationMillis == start.durationMillis
                && Double.compare(requestsPerSecond, start.requestsPerSecond) == 0;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Objects.hash(durationMillis, requestsPerSecond);
    }
}
