package org.radishspur.node.entry;

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
 * Tells other entries what is in progress here and what organisations have used, and takes in what they tell. The traffic
 * thread owns it.
 *
 * <p>Each entry decides by the sum, which is a few ten milliseconds old: two entries may take the last place of an upstream
 * at once, which then holds one request in its own queue for a moment. In return no request waits for a permit from
 * elsewhere, and the loss of an entry takes away nothing but its own requests.
 */
final class LoadSharing {
    /** An entry that has said nothing for so long is taken for lost, in milliseconds. */
    private static final long LOST_MILLIS = 900;

    /**
     * The shortest time between two rounds, in milliseconds. At a thousand requests a second and entry a place is seen free
     * within a twentieth of the shortest target time.
     */
    static final long SHORTEST_ROUND_MILLIS = 40;

    /**
     * How many messages a second an entry sends at most to those of its own failure domain, and how many it gets from them.
     * Where there are more entries, each tells the others less often, so that what it spends on them doesn't grow with
     * their number. What it tells stays as true: each entry has a smaller part of what is in progress.
     */
    private static final int NEAR_MESSAGES_PER_SECOND = 200;

    /**
     * The same for those of other failure domains, which use the upstreams of this one less, and to which bytes are paid for.
     */
    private static final int FAR_MESSAGES_PER_SECOND = 150;

    /** How many answers of another entry are taken in one by one; more in one message say nothing more. */
    private static final int MOST_JUDGED = 4;

    /** How many numbers are told of each upstream, besides the prompt tokens that it has still to read. */
    private static final int FIELDS = 4;

    /** Tokens of prompts that are still to be read are told in this step; fewer are read in a few milliseconds. */
    private static final int UNREAD_STEP = 256;

    /** The ratio of one step of a pace to the next. Steps this coarse rarely change, and a change costs a message. */
    private static final double PACE_STEP = 1.25;

    private final FleetSender links;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final String self;
    private final String failureDomain;
    private final Map<UpstreamLoad, long[]> answers = new HashMap<>();
    private final Audience near = new Audience(SHORTEST_ROUND_MILLIS, NEAR_MESSAGES_PER_SECOND);
    private final Audience far = new Audience(SHORTEST_ROUND_MILLIS, FAR_MESSAGES_PER_SECOND);
    private final Map<String, String> failureDomains = new HashMap<>();
    private final Map<String, Integer> connections = new HashMap<>();
    private final Map<String, Other> others = new HashMap<>();
    private List<String> entries = List.of();
    private Map<Integer, UpstreamLoad> upstreams = Map.of();

    /**
     * Creates the sharing of one entry.
     *
     * @param links reach the other entries.
     * @param pools what is told of, and where the others' words go.
     * @param quotas the same for what organisations have used.
     * @param self the run of this entry: its address, a slash and what tells its runs apart.
     * @param failureDomain the failure domain of this entry.
     */
    LoadSharing(FleetSender links, PoolSet pools, QuotaLedger quotas, String self, String failureDomain) {
        this.failureDomain = failureDomain;
        this.links = links;
        this.pools = pools;
        this.quotas = quotas;
        this.self = self;
    }

    /** Takes over a newer view, by which the upstreams of the pools may have changed as well. */
    void refresh(List<String> live) {
        entries = live;
        failureDomains.keySet().retainAll(Set.copyOf(live));
        group();
        upstreams = byDigest();
        answers.keySet().retainAll(Set.copyOf(upstreams.values()));
    }

    /** Parts the other entries by their failure domain; one that has not told its own counts as near. */
    private void group() {
        Map<Boolean, List<String>> groups = entries.stream().collect(Collectors.partitioningBy(this::isNear));
        near.entries(groups.get(true));
        far.entries(groups.get(false));
    }

    private boolean isNear(String entry) {
        return failureDomains.getOrDefault(entry, failureDomain).equals(failureDomain);
    }

    private void noteFailureDomain(String run, String domain) {
        String address = run.substring(0, Math.max(0, run.indexOf('/')));
        if (!domain.isEmpty() && !domain.equals(failureDomains.put(address, domain))) {
            group();
        }
    }

    /** Counts an answer for the other entries. */
    void judged(UpstreamLoad upstream, boolean good) {
        answers.computeIfAbsent(upstream, key -> new long[2])[good ? 0 : 1]++;
    }

    /** Tells the other entries what has changed since the last round, where the next one is due. */
    void share(long now) {
        share(near, now);
        share(far, now);
        forgetLost(now);
    }

    private void share(Audience audience, long now) {
        if (!audience.beginRound(now)) {
            return;
        }
        Map<Integer, int[]> present = present(audience.toldUpstreams().keySet());
        List<String> toldWhole = new ArrayList<>();
        List<String> toldChanges = new ArrayList<>();
        boolean whole = audience.takeWhole();
        for (String entry : audience.entries()) {
            int connection = links.connection(entry);
            boolean fresh = connection != connections.getOrDefault(entry, 0);
            connections.put(entry, connection);
            (whole || fresh ? toldWhole : toldChanges).add(entry);
        }
        if (!toldWhole.isEmpty()) {
            links.send(toldWhole, message(present, Map.of(), quotas.usedHere(), true));
        }
        if (!toldChanges.isEmpty()) {
            FleetMessage.Load changes =
                    message(present, audience.toldUpstreams(), audience.newUse(quotas.usedHere()), false);
            if (changes.upstreams().length > 0 || !changes.organisations().isEmpty()) {
                links.send(toldChanges, changes);
            }
        }
        audience.told(present, quotas.usedHere());
    }

    void onLoad(FleetMessage.Load load, Map<String, OrganisationRule> organisations, long now) {
        Other other = others.computeIfAbsent(load.entry(), key -> new Other());
        other.heardAt = now;
        other.isNear = load.failureDomain().isEmpty() || load.failureDomain().equals(failureDomain);
        noteFailureDomain(load.entry(), load.failureDomain());
        Map<Integer, UpstreamLoad> known = upstreams;
        if (load.whole()) {
            Set<Integer> carried = Arrays.stream(load.upstreams()).boxed().collect(Collectors.toSet());
            other.counts.keySet().removeIf(digest -> {
                boolean missing = !carried.contains(digest);
                if (missing && known.containsKey(digest)) {
                    forget(load.entry(), known.get(digest));
                }
                return missing;
            });
        }
        boolean freed = false;
        for (int index = 0; index < load.upstreams().length; index++) {
            int digest = load.upstreams()[index];
            int[] counts = Arrays.copyOfRange(load.counts(), index * FIELDS, (index + 1) * FIELDS);
            int[] before = other.counts.put(digest, counts);
            UpstreamLoad upstream = known.get(digest);
            if (upstream != null) {
                upstream.othersHave(load.entry(), counts[0]);
                upstream.othersUnread(load.entry(), (long) load.unreadAt(index) * UNREAD_STEP);
                upstream.toldPace(counts[3] == 0 ? 0 : Math.pow(PACE_STEP, counts[3] - 1));
                if (before != null) {
                    freed |= counts[0] < before[0];
                    judge(upstream, counts[1] - before[1], counts[2] - before[2], now);
                }
            }
        }
        load.organisations().forEach((name, total) -> {
            OrganisationRule organisation = organisations.get(name);
            if (organisation != null) {
                quotas.usedElsewhere(load.entry(), organisation, total, now);
            }
        });
        if (freed) {
            pools.advance(now);
        }
    }

    private void judge(UpstreamLoad upstream, int good, int bad, long now) {
        double usual = pools.usualFailures(upstream);
        for (int count = 0; count < Math.min(bad, MOST_JUDGED); count++) {
            upstream.judged(false, usual, now);
        }
        for (int count = 0; count < Math.min(good, MOST_JUDGED); count++) {
            upstream.judged(true, usual, now);
        }
    }

    private static void forget(String entry, UpstreamLoad upstream) {
        upstream.othersHave(entry, 0);
        upstream.othersUnread(entry, 0);
    }

    private void forgetLost(long now) {
        others.entrySet().removeIf(entry -> {
            Other other = entry.getValue();
            boolean lost = now - other.heardAt > (other.isNear ? near : far).lostMillis(LOST_MILLIS);
            if (lost) {
                upstreams.values().forEach(upstream -> forget(entry.getKey(), upstream));
            }
            return lost;
        });
    }

    private Map<Integer, int[]> present(Set<Integer> told) {
        Map<Integer, int[]> present = new HashMap<>();
        upstreams.forEach((digest, upstream) -> {
            long[] judged = answers.getOrDefault(upstream, new long[2]);
            if (upstream.own() > 0 || judged[0] + judged[1] > 0 || told.contains(digest)) {
                present.put(digest, new int[] {
                    upstream.own(),
                    (int) judged[0],
                    (int) judged[1],
                    paceStep(upstream.ownPaceMillis()),
                    (int) (upstream.ownUnreadTokens() / UNREAD_STEP)
                });
            }
        });
        return present;
    }

    /** Returns the step of a pace from 1 on, 0 for a pace that is not known. */
    private static int paceStep(double millis) {
        return millis <= 0 ? 0 : 1 + (int) Math.max(0, Math.round(Math.log(millis) / Math.log(PACE_STEP)));
    }

    private FleetMessage.Load message(
            Map<Integer, int[]> present, Map<Integer, int[]> known, Map<String, Long> use, boolean whole) {
        List<Integer> changed = new ArrayList<>();
        present.forEach((digest, counts) -> {
            if (!Arrays.equals(counts, known.get(digest))) {
                changed.add(digest);
            }
        });
        int[] digests = new int[changed.size()];
        int[] counts = new int[changed.size() * FIELDS];
        int[] unread = new int[changed.size()];
        for (int index = 0; index < digests.length; index++) {
            digests[index] = changed.get(index);
            int[] told = present.get(digests[index]);
            System.arraycopy(told, 0, counts, index * FIELDS, FIELDS);
            unread[index] = told[FIELDS];
        }
        return new FleetMessage.Load(self, whole, digests, counts, new HashMap<>(use), failureDomain, unread);
    }

    private Map<Integer, UpstreamLoad> byDigest() {
        Map<Integer, UpstreamLoad> known = new HashMap<>();
        for (PoolDispatcher dispatcher : pools.dispatchers().values()) {
            dispatcher
                    .board()
                    .loads()
                    .forEach(load -> known.put(load.upstream().run().hashCode(), load));
        }
        return known;
    }

    /** Remembers what another entry has told. */
    private static final class Other {
        private final Map<Integer, int[]> counts = new HashMap<>();
        private long heardAt;
        private boolean isNear = true;
    }
}
