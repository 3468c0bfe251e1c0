package org.radishspur.node.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.RequestLimit;

/**
 * Encodes the limits that upstreams state, and how many requests this scheduler has sent to them, for the reports to
 * other schedulers, and applies what these report. The traffic thread owns it.
 */
final class StatedLimitExchange {
    /** The number of values for each upstream; the constants below are their positions. */
    private static final int NUMBERS_PER_UPSTREAM = 4;

    private static final int UPSTREAM = 0;
    private static final int REQUESTS_PER_MINUTE = 1;
    private static final int STATEMENT_AGE_MILLIS = 2;
    private static final int SENT = 3;

    private final Map<Integer, Published> published = new HashMap<>();
    private Map<Integer, UpstreamLoad> upstreams = Map.of();

    /** Sets the upstreams, by the hash code of their run. */
    void setUpstreams(Map<Integer, UpstreamLoad> byDigest) {
        upstreams = byDigest;
        published.keySet().retainAll(byDigest.keySet());
    }

    /** Returns the values of all upstreams that state a limit or have stated one. */
    int[] all(long now) {
        return encode(digest -> true, now);
    }

    /** Returns those that have changed since {@link #recordPublished()}. */
    int[] changes(long now) {
        return encode(digest -> !Published.of(upstreams.get(digest)).equals(published.get(digest)), now);
    }

    /** Records that the peers have the current values. */
    void recordPublished() {
        upstreams.forEach((digest, upstream) -> {
            if (upstream.wasEverLimited()) {
                published.put(digest, Published.of(upstream));
            }
        });
    }

    /** Applies the values that another scheduler reports. */
    void apply(String scheduler, int[] limits, long now) {
        for (int index = 0; index + NUMBERS_PER_UPSTREAM <= limits.length; index += NUMBERS_PER_UPSTREAM) {
            UpstreamLoad upstream = upstreams.get(limits[index + UPSTREAM]);
            if (upstream != null) {
                RequestLimit stated = new RequestLimit(limits[index + REQUESTS_PER_MINUTE]);
                upstream.recordStatedLimit(stated, limits[index + STATEMENT_AGE_MILLIS], now);
                upstream.recordPeerSent(scheduler, limits[index + SENT], now);
            }
        }
    }

    private int[] encode(Predicate<Integer> included, long now) {
        return upstreams.entrySet().stream()
                .filter(each -> each.getValue().wasEverLimited() && included.test(each.getKey()))
                .flatMapToInt(each -> encode(each.getKey(), each.getValue(), now))
                .toArray();
    }

    private static IntStream encode(int digest, UpstreamLoad upstream, long now) {
        return IntStream.of(
                digest,
                (int) upstream.statedLimit().requestsPerMinute(),
                (int) Math.min(Integer.MAX_VALUE, upstream.statedLimitAgeMillis(now)),
                (int) upstream.ownSent());
    }

    /**
     * Holds what was last published about an upstream.
     *
     * @param requestsPerMinute the limit, 0 for none.
     * @param sent the requests that this scheduler has sent to the upstream.
     */
    private record Published(long requestsPerMinute, long sent) {
        static Published of(UpstreamLoad upstream) {
            return new Published(upstream.statedLimit().requestsPerMinute(), upstream.ownSent());
        }
    }
}
