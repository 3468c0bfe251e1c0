package org.radishspur.node.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.dispatch.PoolDispatcher;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.node.fleet.FleetLinks;
import org.radishspur.node.fleet.FleetMessage;

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

    /** Everything is told again after so many rounds of {@link #share}, also where nothing has changed. */
    private static final int ROUNDS_PER_WHOLE = 8;

    /** How many answers of another entry are taken in one by one; more in one message say nothing more. */
    private static final int MOST_JUDGED = 4;

    private static final int FIELDS = 4;

    /** The ratio of one step of a pace to the next. Steps this coarse rarely change, and a change costs a message. */
    private static final double PACE_STEP = 1.25;

    private final FleetLinks links;
    private final PoolSet pools;
    private final QuotaLedger quotas;
    private final String self;
    private final Map<UpstreamLoad, long[]> answers = new HashMap<>();
    private final Map<Integer, int[]> told = new HashMap<>();
    private final Map<String, Long> toldUse = new HashMap<>();
    private final Map<String, Integer> connections = new HashMap<>();
    private final Map<String, Other> others = new HashMap<>();
    private List<String> entries = List.of();
    private int round;

    LoadSharing(FleetLinks links, PoolSet pools, QuotaLedger quotas, String self) {
        this.links = links;
        this.pools = pools;
        this.quotas = quotas;
        this.self = self;
    }

    void entries(List<String> live) {
        entries = live;
    }

    /** Counts an answer for the other entries. */
    void judged(UpstreamLoad upstream, boolean good) {
        answers.computeIfAbsent(upstream, key -> new long[2])[good ? 0 : 1]++;
    }

    /** Tells the other entries what has changed since the last round. */
    void share(long now) {
        round++;
        Map<Integer, int[]> present = present();
        FleetMessage.Load whole = message(present, Map.of(), quotas.usedHere(), true);
        FleetMessage.Load changes = message(present, told, changedUse(), false);
        boolean empty =
                changes.upstreams().length == 0 && changes.organisations().isEmpty();
        for (String entry : entries) {
            int connection = links.connection(entry);
            boolean fresh = connection != connections.getOrDefault(entry, 0);
            connections.put(entry, connection);
            if (fresh || round % ROUNDS_PER_WHOLE == 0) {
                links.send(entry, whole);
            } else if (!empty) {
                links.send(entry, changes);
            }
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
        Map<Integer, UpstreamLoad> known = byDigest();
        if (load.whole()) {
            List<Integer> carried = Arrays.stream(load.upstreams()).boxed().toList();
            other.counts.keySet().removeIf(digest -> {
                boolean missing = !carried.contains(digest);
                if (missing && known.containsKey(digest)) {
                    known.get(digest).othersHave(load.entry(), 0);
                }
                return missing;
            });
        }
        for (int index = 0; index < load.upstreams().length; index++) {
            int digest = load.upstreams()[index];
            int[] counts = Arrays.copyOfRange(load.counts(), index * FIELDS, (index + 1) * FIELDS);
            int[] before = other.counts.put(digest, counts);
            UpstreamLoad upstream = known.get(digest);
            if (upstream != null) {
                upstream.othersHave(load.entry(), counts[0]);
                upstream.toldPace(counts[3] == 0 ? 0 : Math.pow(PACE_STEP, counts[3] - 1));
                if (before != null) {
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
        pools.advance(now);
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

    private void forgetLost(long now) {
        others.entrySet().removeIf(entry -> {
            boolean lost = now - entry.getValue().heardAt > LOST_MILLIS;
            if (lost) {
                byDigest().values().forEach(upstream -> upstream.othersHave(entry.getKey(), 0));
            }
            return lost;
        });
    }

    private Map<Integer, int[]> present() {
        Map<Integer, int[]> present = new HashMap<>();
        byDigest().forEach((digest, upstream) -> {
            long[] judged = answers.getOrDefault(upstream, new long[2]);
            if (upstream.own() > 0 || judged[0] + judged[1] > 0 || told.containsKey(digest)) {
                present.put(digest, new int[] {
                    upstream.own(), (int) judged[0], (int) judged[1], paceStep(upstream.ownPaceMillis())
                });
            }
        });
        answers.keySet().retainAll(byDigest().values());
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
