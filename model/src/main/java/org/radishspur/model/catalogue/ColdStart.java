package org.radishspur.model.catalogue;

import java.util.Objects;

/**
 * Says how many requests the upstreams of a pool bear while they are cold.
 *
 * @param millis how long an upstream stays cold after its start, in milliseconds.
 * @param requestsPerSecond how many requests it bears in one second until then; far more crash it.
 */
public record ColdStart(long millis, double requestsPerSecond) {
    /** Stands for a pool whose upstreams bear their full load from the start. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    /**
     * Returns whether there is a limit.
     *
     * @return whether upstreams of the pool may be cold.
     */
    public boolean isLimited() {
        return millis > 0;
    }

    /** {@inheritDoc} Written out, as the generated one is put together at run time, at each start of a process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof ColdStart start
                && millis == start.millis
                && Double.compare(requestsPerSecond, start.requestsPerSecond) == 0;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Objects.hash(millis, requestsPerSecond);
    }
}
