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
import org.radishspur.decision.dispatch.UpstreamLoad;
import org.radishspur.model.catalogue.OrganisationRule;
import org.radishspur.model.catalogue.Upstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays random requests, reports and losses of entries on one scheduler, and checks what must hold after each step.
 */
class SlotSchedulerPropertyTest {
    private static final int SLOTS = 3;
    private static final int STEPS = 1_500;
    private static final double RATE = 20_000;
    private static final double BURST = 5_000;

    @Property(tries = 60, seed = "4711")
    void grantsNoSlotTwice(@ForAll @IntRange(min = 1, max = 6) int engines, @ForAll long seed) {
        Play play = new Play(engines, 5, seed);
        play.run(() -> play.upstreams().forEach(load -> assertThat(load.own()).isBetween(0, SLOTS)));
    }

    @Property(tries = 60, seed = "4712")
    void decidesEachRequestOnceUnlessItIsWithdrawnOrItsEntryIsLost(
            @ForAll @IntRange(min = 1, max = 6) int entries, @ForAll long seed) {
        Play play = new Play(3, entries, seed);
        play.run(() -> {});
        play.finish();
        assertThat(play.decisions.values()).allMatch(count -> count == 1);
        assertThat(play.undecided).isEmpty();
        assertThat(play.scheduler.waiting()).isZero();
    }

    @Property(tries = 60, seed = "4713")
    void hasNothingInProgressOnceAllHasEnded(@ForAll @IntRange(min = 1, max = 6) int engines, @ForAll long seed) {
        Play play = new Play(engines, 4, seed);
        play.run(() -> {});
        play.finish();
        play.upstreams().forEach(load -> assertThat(load.inProgress()).isZero());
    }

    @Property(tries = 60, seed = "4714")
    void keepsWhatRanWithinTheQuota(@ForAll @IntRange(min = 1, max = 6) int entries, @ForAll long seed) {
        Play play = new Play(6, entries, seed);
        play.run(() ->
                assertThat(play.granted - play.returned).isLessThanOrEqualTo(RATE * play.now / 1_000 + 2 * BURST));
    }

    /** A waiting request of a higher tier is never passed by one of a lower tier that came later and needs the same slots. */
    @Property(tries = 60, seed = "4715")
    void servesNoLowerTierBeforeAHigherOneThatWaits(@ForAll long seed) {
        Play play = new Play(1, 3, seed);
        play.run(() -> {});
        assertThat(play.passedOver).isZero();
    }

    @Property(tries = 60, seed = "4716")
    void countsASlotForTheSchedulerThatItsEntryHasMovedTo(
            @ForAll @IntRange(min = 1, max = 5) int engines, @ForAll long seed) {
        Play from = new Play(engines, 4, seed);
        from.run(() -> {});
        Play to = new Play(engines, 0, seed + 1);
        int held = 0;
        for (String entry : from.entries) {
            List<HeldSlot> slots = from.scheduler.held(entry);
            held += slots.size();
            to.scheduler.attach(entry, slots, 0);
        }
        assertThat(to.upstreams().stream().mapToInt(UpstreamLoad::own).sum()).isEqualTo(held);
    }

    /** Holds one scheduler, its entries and what became of their requests. */
    private static final class Play implements SlotScheduler.Listener {
        private final PlayedPools pools = new PlayedPools("scheduler", "a", SLOTS);
        private final SlotScheduler scheduler =
                new SlotScheduler(pools, new QuotaLedger(QuotaLedger.Tolerance.NONE), this);
        private final List<String> entries = new ArrayList<>();
        private final Map<Long, Integer> decisions = new HashMap<>();
        private final TreeMap<Long, Request> undecided = new TreeMap<>();
        private final TreeMap<Long, Request> running = new TreeMap<>();
        private final Random random;
        private long nextId;
        private long now;
        private double granted;
        private double returned;
        private int passedOver;

        Play(int engines, int entries, long seed) {
            random = new Random(seed);
            List<Upstream> listed = new ArrayList<>();
            for (int number = 0; number < engines; number++) {
                listed.add(PlayedPools.engine(number, "a", SLOTS));
            }
            pools.upstreams(listed, 1);
            pools.organisation(new OrganisationRule("organisation", Set.of("key"), 0, RATE, BURST, true, 1));
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

        void finish() {
            while (!undecided.isEmpty() || !running.isEmpty()) {
                now += 50;
                scheduler.advance(now);
                List.copyOf(running.values()).forEach(each -> end(each, SlotOutcome.SUCCESS));
            }
        }

        private void step() {
            int draw = random.nextInt(100);
            if (draw < 50) {
                ask();
            } else if (draw < 85 && !running.isEmpty()) {
                end(drawnOf(running), SlotOutcome.values()[random.nextInt(SlotOutcome.values().length)]);
            } else if (draw < 90 && !undecided.isEmpty()) {
                withdraw(drawnOf(undecided));
            } else if (draw < 98) {
                scheduler.advance(now);
            } else {
                lose(entries.get(random.nextInt(entries.size())));
            }
        }

        private Request drawnOf(TreeMap<Long, Request> requests) {
            List<Request> all = List.copyOf(requests.values());
            return all.get(random.nextInt(all.size()));
        }

        private void ask() {
            Request request = new Request(
                    ++nextId, entries.get(random.nextInt(entries.size())), random.nextInt(3), 1 + random.nextInt(500));
            undecided.put(request.id, request);
            scheduler.request(
                    request.entry,
                    request.id,
                    new SlotRequest(
                            PlayedPools.POOL,
                            "",
                            "organisation",
                            request.cost,
                            0,
                            false,
                            true,
                            100,
                            400,
                            8_000,
                            new SlotRequest.Work(100, 20, 0, request.tier, "", 0),
                            List.of()),
                    now);
        }

        private void end(Request request, SlotOutcome outcome) {
            running.remove(request.id);
            returned += outcome.mayHaveRun() ? 0 : request.cost;
            scheduler.report(request.entry, request.id, new SlotReport.Ended(outcome), now);
        }

        private void withdraw(Request request) {
            undecided.remove(request.id);
            scheduler.report(request.entry, request.id, new SlotReport.Ended(SlotOutcome.UNUSED), now);
        }

        private void lose(String entry) {
            undecided.values().removeIf(request -> request.entry.equals(entry));
            running.values().removeIf(request -> request.entry.equals(entry));
            scheduler.detach(entry, now);
            scheduler.attach(entry, List.of(), now);
        }

        /** {@inheritDoc} */
        @Override
        public void onReply(String entry, long id, SlotReply reply) {
            if (reply instanceof SlotReply.Queued) {
                return;
            }
            decisions.merge(id, 1, Integer::sum);
            Request request = undecided.remove(id);
            if (reply instanceof SlotReply.Granted) {
                running.put(id, request);
                granted += request.cost;
                passedOver += (int) undecided.values().stream()
                        .filter(other -> other.tier < request.tier && other.id < request.id)
                        .count();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onAnswer(UpstreamLoad upstream, boolean good) {}

        /** {@inheritDoc} */
        @Override
        public void onEjected(UpstreamLoad upstream, String cause) {}

        private record Request(long id, String entry, int tier, double cost) {}
    }
}
