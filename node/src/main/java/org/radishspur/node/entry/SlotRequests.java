package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.slot.SlotRequest;

/**
 * Creates and counts the slots that are requested for one request, and states how long it may wait for each. The traffic
 * thread owns it.
 */
final class SlotRequests {
    /**
     * The maximum number of slots that are requested for one request while upstreams don't run it; each slot costs a
     * round trip.
     */
    private static final int MAX_COUNT = 4;

    private final EntryExchange exchange;
    private final EntryServices services;
    private final RequestDeadline deadline;
    private final RequestRuns runs;
    private int count;

    SlotRequests(EntryExchange exchange, EntryServices services, RequestDeadline deadline, RequestRuns runs) {
        this.exchange = exchange;
        this.services = services;
        this.deadline = deadline;
        this.runs = runs;
    }

    /** Counts a request for a slot. */
    void add() {
        count++;
    }

    int count() {
        return count;
    }

    /** Returns whether another slot may be requested after an upstream that didn't run the request. */
    boolean isNextAllowed() {
        return count < MAX_COUNT;
    }

    /**
     * Creates the first slot.
     *
     * @param listener receives the decision.
     * @param now the current time in milliseconds.
     */
    UpstreamSlot createFirst(UpstreamSlot.Listener listener, long now) {
        return create(true, Optional.empty(), listener, now);
    }

    /**
     * Creates a slot for another attempt.
     *
     * @param last the upstream of the last attempt, which is used only if no other is available; empty where there is none.
     * @param listener receives the decision.
     * @param now the current time in milliseconds.
     */
    UpstreamSlot createRetry(Optional<UpstreamLoad> last, UpstreamSlot.Listener listener, long now) {
        return create(false, last, listener, now);
    }

    /**
     * Creates a slot for which the request waits as long as its caller waits for the first byte; unreachable upstreams are used
     * only if no other is. The scheduler takes off what the pool needs for the work.
     */
    private UpstreamSlot create(
            boolean trialAllowed, Optional<UpstreamLoad> last, UpstreamSlot.Listener listener, long now) {
        long silenceMillis = services.dialect().maxSilenceMillis(routed().route()) - (now - exchange.silentSince());
        long waitMillis = Math.min(silenceMillis, deadline.deadlineAt() - now);
        List<String> avoided = new ArrayList<>(services.slots().unreachable(routed().pool(), now));
        last.ifPresent(upstream -> avoided.add(upstream.run()));
        avoided.addAll(services.unansweredBodies().avoidedBy(exchange.body().readableBytes()));
        return services.slots().request(build(Math.max(0, waitMillis), trialAllowed, avoided, now), listener, now);
    }

    private SlotRequest build(long waitMillis, boolean trialAllowed, List<String> avoided, long now) {
        RoutedRequest routed = routed();
        long targetLatencyMillis = routed.route().targetLatencyMillis();
        long remainingMillis = deadline.deadlineAt() - now;
        long targetMillis = targetLatencyMillis > 0 ? deadline.arrivedAt() + targetLatencyMillis - now : 0;
        return new SlotRequest(
                routed.pool(),
                services.failureDomain(),
                routed.organisationName(),
                runs.arePossible() ? 0 : routed.quotaCost(),
                routed.organisationRank(),
                false,
                trialAllowed,
                waitMillis,
                Math.max(0, targetMillis),
                remainingMillis,
                routed.expectedLoad(),
                avoided,
                List.of(),
                routed.terms(services.regions()));
    }

    private RoutedRequest routed() {
        return exchange.routed();
    }
}
