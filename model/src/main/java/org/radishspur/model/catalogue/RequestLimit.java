package org.radishspur.model.catalogue;

/**
 * States how many requests an upstream in need takes from all hosts together.
 *
 * @param requestsPerMinute the maximum number of requests per minute; 0 if the upstream states no limit.
 */
public record RequestLimit(long requestsPerMinute) {
    /** States that there is no limit. */
    public static final RequestLimit NONE = new RequestLimit(0);

    private static final double SECONDS_PER_MINUTE = 60;

    /** Stands for a limit that takes nothing; without any response the end of the limit would never be seen. */
    private static final long MIN_REQUESTS_PER_MINUTE = 6;

    /**
     * Creates a limit from a rate.
     *
     * @param requestsPerSecond the stated number of requests per second.
     * @return the limit, at least one request in ten seconds.
     */
    public static RequestLimit ofRate(double requestsPerSecond) {
        return new RequestLimit(Math.max(MIN_REQUESTS_PER_MINUTE, (long) (requestsPerSecond * SECONDS_PER_MINUTE)));
    }

    /**
     * Returns whether there is a limit.
     *
     * @return whether the upstream states one.
     */
    public boolean isLimited() {
        return requestsPerMinute > 0;
    }
}
