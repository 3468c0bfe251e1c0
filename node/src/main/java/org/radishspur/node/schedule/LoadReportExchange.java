package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;

/**
 * Publishes to the other schedulers what is in progress here and what organisations have used, and takes in their reports. The
 * traffic thread owns it.
 *
 * <p>Each scheduler decides by the sum, which is a few ten milliseconds old: two may grant the last slot of an upstream at once,
 * which then queues one request itself for a moment. In return no request waits for a permit from another failure domain, and
 * the loss of a scheduler takes away nothing but its own queue.
 */
final class LoadReportExchange {
    /** A scheduler that has reported nothing for so long is taken for lost, in milliseconds. */
    private static final long PEER_TIMEOUT_MILLIS = 900;

    /** The shortest time between two rounds, in milliseconds. */
    static final long MIN_ROUND_MILLIS = 40;

    /**
     * How many messages a second a scheduler sends at most, and how many it gets. Where there are more schedulers, each
     * publishes less often, so that what it spends on them doesn't grow with their number.
     */
    private static final int MAX_MESSAGES_PER_SECOND = 200;

    /** How many answers reported by another scheduler are taken in one by one; more in one message say nothing more. */
    private static final int MAX_OUTCOMES_PER_REPORT = 4;

    /** How many numbers are published of each upstream. */
    private static final int COUNTS_PER_UPSTREAM = 5;

    private static final int IN_PROGRESS = 0;
    private static final int SUCCESSES = 1;
    private static final int FAILURES = 2;
    private static final int EVENT_TIME_STEPS = 3;
    private static final int UNREAD_TOKEN_STEPS = 4;

    /** Tokens of prompts that are still to be read are published in this step; fewer are read in a few milliseconds. */
    private static final int TOKENS_PER_STEP = 256;

    /** The ratio of one step of a pace to the next. Steps this coarse rarely change, and a change costs a message. */
    private static final double EVENT_TIME_STEP_RATIO = 1.25;

    private final FleetSender links;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final String self;
    private final Map<UpstreamLoad, long[]> outcomes = new HashMap<>();
    private final PublishRounds publishRounds = new PublishRounds(MIN_ROUND_MILLIS, MAX_MESSAGES_PER_SECOND);
    private final Map<String, Integer> connectionCounts = new HashMap<>();
    private final Map<String, Peer> peers = new HashMap<>();
    private Map<Integer, UpstreamLoad> upstreams = Map.of();

    /**
     * Creates the sharing of one scheduler.
     *
     * @param links reach the other schedulers.
     * @param pools what is published, and where the others' reports go.
     * @param quotas the same for what organisations have used.
     * @param self the run of this scheduler: its address, a slash and what sets its runs apart.
     */
    LoadReportExchange(FleetSender links, PoolSet pools, QuotaLedger quotas, String self) {
        this.links = links;
        this.pools = pools;
        this.quotas = quotas;
        this.self = self;
    }

    /** Takes over a newer view, by which the upstreams of the pools may have changed as well. */
    void refresh(List<String> others) {
        publishRounds.peers(others);
        upstreams = upstreamsByDigest();
        outcomes.keySet().retainAll(Set.copyOf(upstreams.values()));
    }

    /** Counts an answer for the other schedulers. */
    void recordOutcome(UpstreamLoad upstream, boolean good) {
        outcomes.computeIfAbsent(upstream, key -> new long[2])[good ? 0 : 1]++;
    }

    /** Publishes what has changed since the last round, where the next one is due. */
    void publishIfDue(long now) {
        removeLostPeers(now);
        if (!publishRounds.beginRound(now)) {
            return;
        }
        Map<Integer, int[]> present =
                currentCounts(publishRounds.publishedUpstreams().keySet());
        List<String> wholeTo = new ArrayList<>();
        List<String> changesTo = new ArrayList<>();
        boolean whole = publishRounds.beginFullReport();
        for (String other : publishRounds.peers()) {
            int connection = links.connection(other);
            boolean fresh = connection != connectionCounts.getOrDefault(other, 0);
            connectionCounts.put(other, connection);
            (whole || fresh ? wholeTo : changesTo).add(other);
        }
        if (!wholeTo.isEmpty()) {
            links.send(wholeTo, report(present, Map.of(), quotas.usedHere(), true));
        }
        if (!changesTo.isEmpty()) {
            FleetMessage.LoadReport changes = report(
                    present, publishRounds.publishedUpstreams(), publishRounds.changedUsage(quotas.usedHere()), false);
            if (changes.upstreams().length > 0 || !changes.organisations().isEmpty()) {
                links.send(changesTo, changes);
            }
        }
        publishRounds.recordPublished(present, quotas.usedHere());
    }

    /** Takes in a report of another scheduler, and returns whether a slot has become free by it. */
    boolean onReport(FleetMessage.LoadReport load, Map<String, OrganisationRule> organisations, long now) {
        Peer peer = peers.computeIfAbsent(load.scheduler(), key -> new Peer());
        peer.receivedAt = now;
        if (load.full()) {
            removeMissingUpstreams(load, peer);
        }
        boolean freed = false;
        for (int index = 0; index < load.upstreams().length; index++) {
            int digest = load.upstreams()[index];
            int[] counts =
                    Arrays.copyOfRange(load.counts(), index * COUNTS_PER_UPSTREAM, (index + 1) * COUNTS_PER_UPSTREAM);
            int[] before = peer.counts.put(digest, counts);
            UpstreamLoad upstream = upstreams.get(digest);
            if (upstream != null) {
                upstream.recordPeerInProgress(load.scheduler(), counts[IN_PROGRESS]);
                upstream.recordPeerUnread(load.scheduler(), (long) counts[UNREAD_TOKEN_STEPS] * TOKENS_PER_STEP);
                upstream.recordPeerEventTime(
                        counts[EVENT_TIME_STEPS] == 0
                                ? 0
                                : Math.pow(EVENT_TIME_STEP_RATIO, counts[EVENT_TIME_STEPS] - 1));
                if (before != null) {
                    freed |= counts[IN_PROGRESS] < before[IN_PROGRESS];
                    recordPeerOutcomes(
                            upstream, counts[SUCCESSES] - before[SUCCESSES], counts[FAILURES] - before[FAILURES], now);
                }
            }
        }
        load.organisations().forEach((name, total) -> {
            OrganisationRule organisation = organisations.get(name);
            if (organisation != null) {
                quotas.recordPeerUse(load.scheduler(), organisation, total, now);
            }
        });
        return freed;
    }

    private void removeMissingUpstreams(FleetMessage.LoadReport load, Peer peer) {
        Set<Integer> carried = Arrays.stream(load.upstreams()).boxed().collect(Collectors.toSet());
        peer.counts.keySet().removeIf(digest -> {
            boolean missing = !carried.contains(digest);
            if (missing && upstreams.containsKey(digest)) {
                clearPeerLoad(load.scheduler(), upstreams.get(digest));
            }
            return missing;
        });
    }

    private void recordPeerOutcomes(UpstreamLoad upstream, int good, int bad, long now) {
        double usual = pools.usualFailureShare(upstream);
        for (int count = 0; count < Math.min(bad, MAX_OUTCOMES_PER_REPORT); count++) {
            upstream.recordOutcome(false, usual, now);
        }
        for (int count = 0; count < Math.min(good, MAX_OUTCOMES_PER_REPORT); count++) {
            upstream.recordOutcome(true, usual, now);
        }
    }

    private static void clearPeerLoad(String scheduler, UpstreamLoad upstream) {
        upstream.recordPeerInProgress(scheduler, 0);
        upstream.recordPeerUnread(scheduler, 0);
    }

    private void removeLostPeers(long now) {
        peers.entrySet().removeIf(peer -> {
            boolean lost = now - peer.getValue().receivedAt > publishRounds.peerTimeoutMillis(PEER_TIMEOUT_MILLIS);
            if (lost) {
                upstreams.values().forEach(upstream -> clearPeerLoad(peer.getKey(), upstream));
            }
            return lost;
        });
    }

    private Map<Integer, int[]> currentCounts(Set<Integer> published) {
        Map<Integer, int[]> present = new HashMap<>();
        upstreams.forEach((digest, upstream) -> {
            long[] answered = outcomes.getOrDefault(upstream, new long[2]);
            if (upstream.own() > 0 || answered[0] + answered[1] > 0 || published.contains(digest)) {
                int[] counts = new int[COUNTS_PER_UPSTREAM];
                counts[IN_PROGRESS] = upstream.own();
                counts[SUCCESSES] = (int) answered[0];
                counts[FAILURES] = (int) answered[1];
                counts[EVENT_TIME_STEPS] = eventTimeStep(upstream.ownEventMillis());
                counts[UNREAD_TOKEN_STEPS] = (int) (upstream.ownUnreadTokens() / TOKENS_PER_STEP);
                present.put(digest, counts);
            }
        });
        return present;
    }

    /** Returns the step of a pace from 1 on, 0 for a pace that is not known. */
    private static int eventTimeStep(double millis) {
        return millis <= 0 ? 0 : 1 + (int) Math.max(0, Math.round(Math.log(millis) / Math.log(EVENT_TIME_STEP_RATIO)));
    }

    private FleetMessage.LoadReport report(
            Map<Integer, int[]> present, Map<Integer, int[]> known, Map<String, Long> use, boolean whole) {
        List<Integer> changed = new ArrayList<>();
        present.forEach((digest, counts) -> {
            if (!Arrays.equals(counts, known.get(digest))) {
                changed.add(digest);
            }
        });
        int[] digests = new int[changed.size()];
        int[] counts = new int[changed.size() * COUNTS_PER_UPSTREAM];
        for (int index = 0; index < digests.length; index++) {
            digests[index] = changed.get(index);
            System.arraycopy(present.get(digests[index]), 0, counts, index * COUNTS_PER_UPSTREAM, COUNTS_PER_UPSTREAM);
        }
        return new FleetMessage.LoadReport(self, whole, digests, counts, new HashMap<>(use));
    }

    private Map<Integer, UpstreamLoad> upstreamsByDigest() {
        Map<Integer, UpstreamLoad> known = new HashMap<>();
        for (PoolDispatcher dispatcher : pools.dispatchers()) {
            dispatcher.upstreams().loads().forEach(load -> known.put(load.run().hashCode(), load));
        }
        return known;
    }

    /** Remembers what another scheduler has published. */
    private static final class Peer {
        private final Map<Integer, int[]> counts = new HashMap<>();
        private long receivedAt;
    }
}
