package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.radishspur.decision.dispatch.QuotaLedger;
import org.radishspur.decision.dispatch.RequestTerms;
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks invariants of one scheduler under random requests, reports, withdrawals and reconnecting entries.
 */
class SlotSchedulerPropertyTest {
    private static final int SLOTS = 3;
    private static final int STEPS = 1_500;
    private static final double QUOTA_COST_PER_SECOND = 20_000;
    private static final double QUOTA_BURST_COST = 5_000;

    @Property(tries = 60, seed = "4711")
    void grantsNoSlotTwice(@ForAll @IntRange(min = 1, max = 6) int engines, @ForAll long seed) {
        Simulation simulation = new Simulation(engines, 5, seed);
        simulation.run(() -> simulation
                .upstreams()
                .forEach(load -> assertThat(load.ownInProgress()).isBetween(0, SLOTS)));
    }

    @Property(tries = 60, seed = "4712")
    void decidesEachRequestOnceUnlessItIsWithdrawnOrItsEntryDisconnects(
            @ForAll @IntRange(min = 1, max = 6) int entries, @ForAll long seed) {
        Simulation simulation = new Simulation(3, entries, seed);
        simulation.run(() -> {});
        simulation.runToCompletion();
        assertThat(simulation.decisions.values()).allMatch(count -> count == 1);
        assertThat(simulation.pendingRequests).isEmpty();
        assertThat(simulation.scheduler.queueLength()).isZero();
    }

    @Property(tries = 60, seed = "4713")
    void hasNothingInProgressAfterAllRequestsHaveEnded(
            @ForAll @IntRange(min = 1, max = 6) int engines, @ForAll long seed) {
        Simulation simulation = new Simulation(engines, 4, seed);
        simulation.run(() -> {});
        simulation.runToCompletion();
        simulation.upstreams().forEach(load -> assertThat(load.inProgress()).isZero());
    }

    @Property(tries = 60, seed = "4714")
    void keepsGrantedCostWithinTheQuota(@ForAll @IntRange(min = 1, max = 6) int entries, @ForAll long seed) {
        Simulation simulation = new Simulation(6, entries, seed);
        simulation.run(() -> assertThat(simulation.grantedCost - simulation.refundedCost)
                .isLessThanOrEqualTo(QUOTA_COST_PER_SECOND * simulation.now / 1_000 + 2 * QUOTA_BURST_COST));
    }

    /**
     * Guards against a queue in which a later request of a lower tier overtakes one of a higher tier for the same
     * slots.
     */
    @Property(tries = 60, seed = "4715")
    void servesNoLowerTierBeforeAWaitingRequestOfAHigherTier(@ForAll long seed) {
        Simulation simulation = new Simulation(1, 3, seed);
        simulation.run(() -> {});
        assertThat(simulation.priorityInversions).isZero();
    }

    @Property(tries = 60, seed = "4716")
    void countsHeldSlotsAtTheSchedulerThatTheEntryAttachesTo(
            @ForAll @IntRange(min = 1, max = 5) int engines, @ForAll long seed) {
        Simulation from = new Simulation(engines, 4, seed);
        from.run(() -> {});
        Simulation to = new Simulation(engines, 0, seed + 1);
        int held = 0;
        for (String entry : from.entries) {
            List<HeldSlot> slots = from.scheduler.heldSlots(entry);
            held += slots.size();
            to.scheduler.attach(entry, slots, 0);
        }
        assertThat(to.upstreams().stream().mapToInt(UpstreamLoad::ownInProgress).sum())
                .isEqualTo(held);
    }

    /** Runs one scheduler, and tracks its entries, their requests and the decisions about them. */
    private static final class Simulation implements SlotScheduler.Listener {
        private final SinglePool pools = new SinglePool("scheduler", "a", SLOTS);
        private final SlotScheduler scheduler =
                new SlotScheduler(pools, new QuotaLedger(QuotaLedger.Tolerance.NONE), this);
        private final List<String> entries = new ArrayList<>();
        private final Map<Long, Integer> decisions = new HashMap<>();
        private final TreeMap<Long, Request> pendingRequests = new TreeMap<>();
        private final TreeMap<Long, Request> running = new TreeMap<>();
        private final Random random;
        private long nextId;
        private long now;
        private double grantedCost;
        private double refundedCost;
        private int priorityInversions;

        Simulation(int engines, int entries, long seed) {
            random = new Random(seed);
            List<Upstream> listed = new ArrayList<>();
            for (int number = 0; number < engines; number++) {
                listed.add(SinglePool.engine(number, "a", SLOTS));
            }
            pools.setUpstreams(listed, 1);
            pools.setOrganisation(new OrganisationRule(
                    "organisation", Set.of("key"), 0, QUOTA_COST_PER_SECOND, QUOTA_BURST_COST, true, 1));
            for (int number = 0; number < entries; number++) {
                this.entries.add("entry-" + number);
                scheduler.attach("entry-" + number, List.of(), 0);
            }
        }

        List<UpstreamLoad> upstreams() {
            return new ArrayList<>(pools.upstreams().loads());
        }

        void run(Runnable check) {
            for (int step = 0; step < STEPS; step++) {
                now += random.nextInt(8);
                step();
                check.run();
            }
        }

        void runToCompletion() {
            while (!pendingRequests.isEmpty() || !running.isEmpty()) {
                now += 50;
                scheduler.advance(now);
                List.copyOf(running.values()).forEach(each -> end(each, SlotOutcome.SUCCESS));
            }
        }

        private void step() {
            int draw = random.nextInt(100);
            if (draw < 50) {
                sendRequest();
            } else if (draw < 85 && !running.isEmpty()) {
                end(randomOf(running), SlotOutcome.values()[random.nextInt(SlotOutcome.values().length)]);
            } else if (draw < 90 && !pendingRequests.isEmpty()) {
                withdraw(randomOf(pendingRequests));
            } else if (draw < 98) {
                scheduler.advance(now);
            } else {
                reconnect(entries.get(random.nextInt(entries.size())));
            }
        }

        private Request randomOf(TreeMap<Long, Request> requests) {
            List<Request> all = List.copyOf(requests.values());
            return all.get(random.nextInt(all.size()));
        }

        private void sendRequest() {
            Request request = new Request(
                    ++nextId, entries.get(random.nextInt(entries.size())), random.nextInt(3), 1 + random.nextInt(500));
            pendingRequests.put(request.id, request);
            scheduler.request(
                    request.entry,
                    request.id,
                    new SlotRequest(
                            SinglePool.POOL,
                            "",
                            "organisation",
                            request.cost,
                            0,
                            false,
                            true,
                            100,
                            400,
                            8_000,
                            new SlotRequest.ExpectedLoad(100, 20, 0, request.tier, "", 0),
                            List.of(),
                            List.of(),
                            RequestTerms.NONE),
                    now);
        }

        private void end(Request request, SlotOutcome outcome) {
            running.remove(request.id);
            refundedCost += outcome.keepsQuotaCharge() ? 0 : request.cost;
            scheduler.report(request.entry, request.id, new SlotReport.Ended(outcome), now);
        }

        private void withdraw(Request request) {
            pendingRequests.remove(request.id);
            scheduler.report(request.entry, request.id, new SlotReport.Ended(SlotOutcome.UNUSED), now);
        }

        private void reconnect(String entry) {
            pendingRequests.values().removeIf(request -> request.entry.equals(entry));
            running.values().removeIf(request -> request.entry.equals(entry));
            scheduler.detach(entry, now);
            scheduler.attach(entry, List.of(), now);
        }

        /** {@inheritDoc} */
        @Override
        public void onReply(String entry, long requestId, SlotReply reply) {
            if (reply instanceof SlotReply.Queued) {
                return;
            }
            decisions.merge(requestId, 1, Integer::sum);
            Request request = pendingRequests.remove(requestId);
            if (reply instanceof SlotReply.Granted) {
                running.put(requestId, request);
                grantedCost += request.cost;
                priorityInversions += (int) pendingRequests.values().stream()
                        .filter(other -> other.tier < request.tier && other.id < request.id)
                        .count();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(UpstreamLoad upstream, boolean succeeded) {}

        /** {@inheritDoc} */
        @Override
        public void onEjected(UpstreamLoad upstream, String cause) {}

        private record Request(long id, String entry, int tier, double cost) {}
    }
}
