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

    /** An entry is not taken for lost before it has been silent for so many rounds of its own. */
    private static final int LOST_ROUNDS = 5;

    /**
     * The shortest time between two rounds, in milliseconds. At a thousand requests a second and entry a place is seen free
     * within a twentieth of the shortest target time.
     */
    static final long SHORTEST_ROUND_MILLIS = 40;

    /**
     * How many messages an entry sends a second at most, and how many it gets. Where there are more entries, each tells the
     * others less often, so that what it spends on them doesn't grow with their number. What it tells stays as true: each
     * entry has a smaller part of what is in progress.
     */
    private static final int MESSAGES_PER_SECOND = 600;

    /** Everything is told again after this time, also where nothing has changed, in milliseconds. */
    private static final long WHOLE_MILLIS = 320;

    /** So many rounds at least bring only what has changed before everything is told again. */
    private static final int LEAST_ROUNDS_PER_WHOLE = 4;

    /** How many answers of another entry are taken in one by one; more in one message say nothing more. */
    private static final int MOST_JUDGED = 4;

    private static final int FIELDS = 5;

    /** Tokens of prompts that are still to be read are told in this step; fewer are read in a few milliseconds. */
    private static final int UNREAD_STEP = 256;

    /** The ratio of one step of a pace to the next. Steps this coarse rarely change, and a change costs a message. */
    private static final double PACE_STEP = 1.25;

    private final FleetSender links;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final String self;
    private final Map<UpstreamLoad, long[]> answers = new HashMap<>();
    private final Map<Integer, int[]> told = new HashMap<>();
    private final Map<String, Long> toldUse = new HashMap<>();
    private final Map<String, Integer> connections = new HashMap<>();
    private final Map<String, Other> others = new HashMap<>();
    private List<String> entries = List.of();
    private Map<Integer, UpstreamLoad> upstreams = Map.of();
    private long nextRoundAt;
    private int roundsSinceWhole;

    LoadSharing(FleetSender links, PoolSet pools, QuotaLedger quotas, String self) {
        this.links = links;
        this.pools = pools;
        this.quotas = quotas;
        this.self = self;
    }

    /** Takes over a newer view, by which the upstreams of the pools may have changed as well. */
    void refresh(List<String> live) {
        entries = live;
        upstreams = byDigest();
        answers.keySet().retainAll(Set.copyOf(upstreams.values()));
    }

    /** Returns the time between two rounds, in whole steps of the timer. */
    private long roundMillis() {
        long needed = entries.size() * 1_000L / MESSAGES_PER_SECOND;
        long steps = Math.max(1, (needed + SHORTEST_ROUND_MILLIS - 1) / SHORTEST_ROUND_MILLIS);
        return steps * SHORTEST_ROUND_MILLIS;
    }

    private long roundsPerWhole() {
        return Math.max(LEAST_ROUNDS_PER_WHOLE, WHOLE_MILLIS / roundMillis());
    }

    /** Counts an answer for the other entries. */
    void judged(UpstreamLoad upstream, boolean good) {
        answers.computeIfAbsent(upstream, key -> new long[2])[good ? 0 : 1]++;
    }

    /** Tells the other entries what has changed since the last round, where the next one is due. */
    void share(long now) {
        if (now < nextRoundAt) {
            return;
        }
        // The timer fires a little early or late; half a step of it is no reason to leave a round out.
        nextRoundAt = now + roundMillis() - SHORTEST_ROUND_MILLIS / 2;
        Map<Integer, int[]> present = present();
        List<String> toldWhole = new ArrayList<>();
        List<String> toldChanges = new ArrayList<>();
        boolean whole = ++roundsSinceWhole >= roundsPerWhole();
        roundsSinceWhole = whole ? 0 : roundsSinceWhole;
        for (String entry : entries) {
            int connection = links.connection(entry);
            boolean fresh = connection != connections.getOrDefault(entry, 0);
            connections.put(entry, connection);
            (whole || fresh ? toldWhole : toldChanges).add(entry);
        }
        if (!toldWhole.isEmpty()) {
            links.send(toldWhole, message(present, Map.of(), quotas.usedHere(), true));
        }
        FleetMessage.Load changes = message(present, told, changedUse(), false);
        if (changes.upstreams().length > 0 || !changes.organisations().isEmpty()) {
            links.send(toldChanges, changes);
        }
        told.clear();
        told.putAll(present);
        toldUse.clear();
        toldUse.putAll(quotas.usedHere());
        forgetLost(now);
    }

    void onLoad(FleetMessage.Load load, Map<String, OrganisationRule> organisations, long now) {
        Other other = others.computeIfAbsent(load.entry(), key -> new Other());
        other.heardAt = now;
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
                upstream.othersUnread(load.entry(), (long) counts[4] * UNREAD_STEP);
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
            boolean lost = now - entry.getValue().heardAt > Math.max(LOST_MILLIS, LOST_ROUNDS * roundMillis());
            if (lost) {
                upstreams.values().forEach(upstream -> forget(entry.getKey(), upstream));
            }
            return lost;
        });
    }

    private Map<Integer, int[]> present() {
        Map<Integer, int[]> present = new HashMap<>();
        upstreams.forEach((digest, upstream) -> {
            long[] judged = answers.getOrDefault(upstream, new long[2]);
            if (upstream.own() > 0 || judged[0] + judged[1] > 0 || told.containsKey(digest)) {
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
        int[] upstreams = new int[changed.size()];
        int[] counts = new int[changed.size() * FIELDS];
        for (int index = 0; index < upstreams.length; index++) {
            upstreams[index] = changed.get(index);
            System.arraycopy(present.get(upstreams[index]), 0, counts, index * FIELDS, FIELDS);
        }
        return new FleetMessage.Load(self, whole, upstreams, counts, new HashMap<>(use));
    }

    private Map<String, Long> changedUse() {
        Map<String, Long> changed = new HashMap<>();
        quotas.usedHere().forEach((name, total) -> {
            if (!total.equals(toldUse.get(name))) {
                changed.put(name, total);
            }
        });
        return changed;
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
    }
}
