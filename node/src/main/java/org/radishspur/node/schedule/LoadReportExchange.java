package org.radishspur.node.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.radishspur.decision.crash.CrashLedger;
import org.radishspur.decision.crash.CrashNote;
import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.decision.dispatch.UseHistory;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.node.fleet.FleetMessage;
import org.radishspur.node.fleet.FleetSender;
import org.radishspur.node.fleet.PauseDetector;

/**
 * Publishes the load, the quota usage and the notes on crashes of this scheduler to the other schedulers, its peers, and
 * applies the reports that they send. The traffic thread owns it.
 *
 * <p>Each scheduler decides by the sum of its own load and the reports of its peers, which are a few tens of
 * milliseconds old. Two schedulers can therefore grant the last slot of an upstream at the same time, and the upstream
 * then queues one request itself for a moment. In return no request waits for a permit from another failure domain, and
 * the loss of a scheduler affects only its own queue.
 */
final class LoadReportExchange {
    /** The minimum time without a report after which a peer is considered lost, in milliseconds. */
    private static final long PEER_TIMEOUT_MILLIS = 900;

    /**
     * The minimum time without a report after which the load of a peer no longer counts, in milliseconds; a full report
     * may be half its interval late. Entries leave a silent scheduler sooner, so that others count the same slots too.
     */
    private static final long LOAD_TIMEOUT_MILLIS = 480;

    /** The minimum time between two rounds of publishing, in milliseconds. */
    static final long MIN_ROUND_MILLIS = 40;

    /**
     * The maximum number of reports that a scheduler sends each second. With more peers each scheduler publishes less
     * often, so that the cost of sending and receiving reports doesn't grow with their number.
     */
    private static final int MAX_MESSAGES_PER_SECOND = 200;

    /**
     * The maximum number of successes or failures in one report that are recorded; more carry no further information.
     */
    private static final int MAX_OUTCOMES_PER_REPORT = 4;

    /** The number of values that a report carries for each upstream; the constants below are their positions. */
    private static final int COUNTS_PER_UPSTREAM = 5;

    private static final int IN_PROGRESS = 0;
    private static final int SUCCESSES = 1;
    private static final int FAILURES = 2;
    private static final int EVENT_TIME_STEPS = 3;
    private static final int PENDING_TOKEN_STEPS = 4;

    /**
     * The unit in which pending prompt tokens, which the upstream has not processed yet, are published. An upstream
     * processes fewer tokens in a few milliseconds.
     */
    private static final int TOKENS_PER_STEP = 256;

    /**
     * The ratio between neighbouring steps of the time per event; coarse steps change rarely, and a change costs a
     * message.
     */
    private static final double EVENT_TIME_STEP_RATIO = 1.25;

    private final FleetSender links;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final CrashLedger crashes;
    private final StatedLimitExchange limits = new StatedLimitExchange();
    private final String self;
    private final Map<UpstreamLoad, long[]> outcomes = new HashMap<>();
    private final PublishRounds publishRounds = new PublishRounds(MIN_ROUND_MILLIS, MAX_MESSAGES_PER_SECOND);
    private final Map<String, Integer> connectionCounts = new HashMap<>();
    private final Map<String, Peer> peers = new HashMap<>();

    /** When each peer of the view has last reported or was added, by its address. */
    private final Map<String, Long> lastReportAt = new HashMap<>();

    private final PauseDetector pauses = new PauseDetector(MIN_ROUND_MILLIS);
    private Map<Integer, UpstreamLoad> upstreams = Map.of();
    private long publishedCrashes;
    private long lastRoundAt = Long.MIN_VALUE / 2;

    /**
     * Creates the exchange of one scheduler, without peers.
     *
     * @param links the connections to the peers.
     * @param pools the load to publish, to which the load of the peers is added.
     * @param quotas the quota usage to publish, to which the usage at the peers is added.
     * @param crashes the notes on crashes, to which those of the peers are added.
     * @param self the incarnation of this scheduler: its address, a slash and the time at which it started.
     */
    LoadReportExchange(FleetSender links, PoolSet pools, QuotaLedger quotas, CrashLedger crashes, String self) {
        this.links = links;
        this.pools = pools;
        this.quotas = quotas;
        this.crashes = crashes;
        this.self = self;
    }

    /**
     * Sets the addresses of the peers and looks up the upstreams of the pools again; called after each change of the
     * view.
     */
    void refresh(List<String> others) {
        publishRounds.setPeers(others);
        lastReportAt.keySet().retainAll(others);
        upstreams = upstreamsByDigest();
        limits.setUpstreams(upstreams);
        outcomes.keySet().retainAll(Set.copyOf(upstreams.values()));
    }

    /** Counts a response of an upstream, for the next report. */
    void recordOutcome(UpstreamLoad upstream, boolean succeeded) {
        outcomes.computeIfAbsent(upstream, key -> new long[2])[succeeded ? 0 : 1]++;
    }

    /** Publishes the changes since the last round, or everything in a full report, if the next round is due. */
    void publishIfDue(long now) {
        if (!pauses.onFired(now)) {
            removeLostPeers(now);
            setReporting(1 + countReportingPeers(now), 1 + publishRounds.peers().size(), now);
        }
        if (!publishRounds.beginRound(now)) {
            return;
        }
        Map<Integer, int[]> current =
                currentCounts(publishRounds.publishedUpstreams().keySet());
        CrashLedger.Changes newCrashes = crashes.changesSince(publishedCrashes, now);
        publishedCrashes = newCrashes.position();
        List<String> reconnected = takeReconnectedPeers();
        List<String> others = new ArrayList<>(publishRounds.peers());
        others.removeAll(reconnected);
        if (!reconnected.isEmpty()) {
            links.send(reconnected, fullReport(current, crashes.strongestNotes(now), quotas.ownHistory(now), now));
        }
        boolean full = publishRounds.beginFullReport();
        if (!others.isEmpty()) {
            Map<String, UseHistory> history = historySinceLastRound(now);
            FleetMessage.LoadReport report = full
                    ? fullReport(current, newCrashes.notes(), history, now)
                    : changeReport(current, newCrashes.notes(), history, now);
            if (full || !isEmpty(report)) {
                links.send(others, report);
            }
        }
        publishRounds.recordPublished(current, quotas.ownUse(), quotas.ownWaitingUse());
        limits.recordPublished();
    }

    /** Sets how many of all schedulers report, so that what is counted over all of them leaves room for the others. */
    private void setReporting(int reporting, int all, long now) {
        quotas.setReporting(reporting, all);
        double share = (double) reporting / all;
        upstreams.values().stream()
                .filter(UpstreamLoad::wasEverLimited)
                .forEach(upstream -> upstream.setReportingShare(share, now));
    }

    /** Returns the peers to which a connection was made since the last call; they have none of the values. */
    private List<String> takeReconnectedPeers() {
        List<String> reconnected = new ArrayList<>();
        for (String peer : publishRounds.peers()) {
            int connection = links.connectionCount(peer);
            Integer previous = connectionCounts.put(peer, connection);
            if (connection != (previous == null ? 0 : previous)) {
                reconnected.add(peer);
            }
        }
        return reconnected;
    }

    /** Returns when this scheduler has started its requests, if it has paused so long that peers can't tell. */
    private Map<String, UseHistory> historySinceLastRound(long now) {
        boolean paused = now - lastRoundAt > publishRounds.peerTimeoutMillis(LOAD_TIMEOUT_MILLIS);
        lastRoundAt = now;
        return paused ? quotas.ownHistory(now) : Map.of();
    }

    private FleetMessage.LoadReport fullReport(
            Map<Integer, int[]> current, List<CrashNote> notes, Map<String, UseHistory> history, long now) {
        return report(current, Map.of(), quotas.ownUse(), true, notes, limits.all(now), history);
    }

    private FleetMessage.LoadReport changeReport(
            Map<Integer, int[]> current, List<CrashNote> notes, Map<String, UseHistory> history, long now) {
        Map<String, Long> changedUsage = publishRounds.changedUsage(quotas.ownUse(), quotas.ownWaitingUse());
        return report(
                current, publishRounds.publishedUpstreams(), changedUsage, false, notes, limits.changes(now), history);
    }

    private static boolean isEmpty(FleetMessage.LoadReport report) {
        return report.upstreams().length == 0
                && report.organisations().isEmpty()
                && report.crashes().isEmpty()
                && report.limits().length == 0;
    }

    /** Applies a report of a peer and returns whether it shows that a slot has become free. */
    boolean onReport(FleetMessage.LoadReport report, Map<String, OrganisationRule> organisations, long now) {
        Peer peer = peers.computeIfAbsent(report.scheduler(), key -> new Peer());
        peer.receivedAt = now;
        lastReportAt.replace(report.scheduler().substring(0, report.scheduler().indexOf('/')), now);
        if (peer.loadForgotten) {
            peer.loadForgotten = false;
            peer.counts.forEach((digest, counts) -> recordPeerLoad(report.scheduler(), digest, counts));
        }
        crashes.merge(report.crashes(), now);
        limits.apply(report.scheduler(), report.limits(), now);
        if (report.full()) {
            removeMissingUpstreams(report, peer);
        }
        boolean slotFreed = false;
        for (int index = 0; index < report.upstreams().length; index++) {
            int digest = report.upstreams()[index];
            int[] counts =
                    Arrays.copyOfRange(report.counts(), index * COUNTS_PER_UPSTREAM, (index + 1) * COUNTS_PER_UPSTREAM);
            int[] previous = peer.counts.put(digest, counts);
            UpstreamLoad upstream = upstreams.get(digest);
            if (upstream != null) {
                recordPeerLoad(report.scheduler(), digest, counts);
                upstream.recordPeerEventTime(
                        counts[EVENT_TIME_STEPS] == 0
                                ? 0
                                : Math.pow(EVENT_TIME_STEP_RATIO, counts[EVENT_TIME_STEPS] - 1));
                if (previous != null) {
                    slotFreed |= counts[IN_PROGRESS] < previous[IN_PROGRESS];
                    recordPeerOutcomes(
                            upstream,
                            counts[SUCCESSES] - previous[SUCCESSES],
                            counts[FAILURES] - previous[FAILURES],
                            now);
                }
            }
        }
        report.organisations().forEach((name, total) -> {
            OrganisationRule organisation = organisations.get(name);
            if (organisation != null) {
                long waiting = report.waitingUsage().getOrDefault(name, 0L);
                UseHistory history = report.history().getOrDefault(name, UseHistory.UNKNOWN);
                quotas.recordPeerUse(report.scheduler(), organisation, total, waiting, history, now);
            }
        });
        return slotFreed;
    }

    private void removeMissingUpstreams(FleetMessage.LoadReport report, Peer peer) {
        Set<Integer> reported = Arrays.stream(report.upstreams()).boxed().collect(Collectors.toSet());
        peer.counts.keySet().removeIf(digest -> {
            boolean missing = !reported.contains(digest);
            if (missing && upstreams.containsKey(digest)) {
                clearPeerLoad(report.scheduler(), upstreams.get(digest));
            }
            return missing;
        });
    }

    private void recordPeerOutcomes(UpstreamLoad upstream, int successes, int failures, long now) {
        double usualFailureShare = pools.usualFailureShare(upstream);
        for (int count = 0; count < Math.min(failures, MAX_OUTCOMES_PER_REPORT); count++) {
            upstream.recordOutcome(false, usualFailureShare, now);
        }
        for (int count = 0; count < Math.min(successes, MAX_OUTCOMES_PER_REPORT); count++) {
            upstream.recordOutcome(true, usualFailureShare, now);
        }
    }

    private void recordPeerLoad(String scheduler, int digest, int[] counts) {
        UpstreamLoad upstream = upstreams.get(digest);
        if (upstream != null) {
            upstream.recordPeerInProgress(scheduler, counts[IN_PROGRESS]);
            upstream.recordPeerPendingTokens(scheduler, (long) counts[PENDING_TOKEN_STEPS] * TOKENS_PER_STEP);
        }
    }

    private static void clearPeerLoad(String scheduler, UpstreamLoad upstream) {
        upstream.recordPeerInProgress(scheduler, 0);
        upstream.recordPeerPendingTokens(scheduler, 0);
    }

    /** Counts the peers that have reported lately, or that were added to the view so lately that they couldn't. */
    private int countReportingPeers(long now) {
        long timeoutMillis = publishRounds.peerTimeoutMillis(PEER_TIMEOUT_MILLIS);
        int reporting = 0;
        for (String peer : publishRounds.peers()) {
            reporting += now - lastReportAt.computeIfAbsent(peer, key -> now) <= timeoutMillis ? 1 : 0;
        }
        return reporting;
    }

    private void removeLostPeers(long now) {
        peers.forEach((scheduler, peer) -> {
            if (!peer.loadForgotten && peer.isSilent(publishRounds.peerTimeoutMillis(LOAD_TIMEOUT_MILLIS), now)) {
                peer.loadForgotten = true;
                upstreams.values().forEach(upstream -> clearPeerLoad(scheduler, upstream));
            }
        });
        peers.entrySet().removeIf(peer -> {
            boolean lost = peer.getValue().isSilent(publishRounds.peerTimeoutMillis(PEER_TIMEOUT_MILLIS), now);
            if (lost) {
                upstreams.values().forEach(upstream -> upstream.forgetPeerSent(peer.getKey()));
            }
            return lost;
        });
    }

    /**
     * Returns the counts of all upstreams with requests or responses, and of those published before, so that a count
     * that has fallen to zero is published as well.
     */
    private Map<Integer, int[]> currentCounts(Set<Integer> published) {
        Map<Integer, int[]> counts = new HashMap<>();
        upstreams.forEach((digest, upstream) -> {
            long[] counted = outcomes.getOrDefault(upstream, new long[2]);
            if (upstream.ownInProgress() > 0 || counted[0] + counted[1] > 0 || published.contains(digest)) {
                int[] numbers = new int[COUNTS_PER_UPSTREAM];
                numbers[IN_PROGRESS] = upstream.ownInProgress();
                numbers[SUCCESSES] = (int) counted[0];
                numbers[FAILURES] = (int) counted[1];
                numbers[EVENT_TIME_STEPS] = eventTimeStep(upstream.ownEventMillis());
                numbers[PENDING_TOKEN_STEPS] = (int) (upstream.ownPendingTokens() / TOKENS_PER_STEP);
                counts.put(digest, numbers);
            }
        });
        return counts;
    }

    /** Returns the step of a time per event, counted from 1, or 0 if the time is not known. */
    private static int eventTimeStep(double millis) {
        return millis <= 0 ? 0 : 1 + (int) Math.max(0, Math.round(Math.log(millis) / Math.log(EVENT_TIME_STEP_RATIO)));
    }

    /** Builds a report of the counts that differ from the published ones, of the given usage and the given notes. */
    private FleetMessage.LoadReport report(
            Map<Integer, int[]> current,
            Map<Integer, int[]> published,
            Map<String, Long> usage,
            boolean full,
            List<CrashNote> notes,
            int[] statedLimits,
            Map<String, UseHistory> history) {
        List<Integer> changed = new ArrayList<>();
        current.forEach((digest, counts) -> {
            if (!Arrays.equals(counts, published.get(digest))) {
                changed.add(digest);
            }
        });
        int[] digests = new int[changed.size()];
        int[] counts = new int[changed.size() * COUNTS_PER_UPSTREAM];
        for (int index = 0; index < digests.length; index++) {
            digests[index] = changed.get(index);
            System.arraycopy(current.get(digests[index]), 0, counts, index * COUNTS_PER_UPSTREAM, COUNTS_PER_UPSTREAM);
        }
        Map<String, Long> waitingUsage = quotas.ownWaitingUse();
        waitingUsage.keySet().retainAll(usage.keySet());
        Map<String, UseHistory> changedHistory = new HashMap<>(history);
        changedHistory.keySet().retainAll(usage.keySet());
        return new FleetMessage.LoadReport(
                self, full, digests, counts, new HashMap<>(usage), notes, statedLimits, waitingUsage, changedHistory);
    }

    private Map<Integer, UpstreamLoad> upstreamsByDigest() {
        Map<Integer, UpstreamLoad> byDigest = new HashMap<>();
        for (PoolDispatcher dispatcher : pools.dispatchers()) {
            dispatcher
                    .upstreams()
                    .loads()
                    .forEach(load -> byDigest.put(load.run().hashCode(), load));
        }
        return byDigest;
    }

    /** Holds the latest counts that a peer has published, by the digest of the upstream. */
    private static final class Peer {
        private final Map<Integer, int[]> counts = new HashMap<>();
        private long receivedAt;
        private boolean loadForgotten;

        boolean isSilent(long millis, long now) {
            return now - receivedAt > millis;
        }
    }
}
