package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.radishspur.decision.permit.PermitOutcome.Ending;
import org.radishspur.decision.upstream.UpstreamState;
import org.radishspur.model.error.RefusalReason;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Drives a scheduler with random arrivals, endings, losses and stale reports.
 */
class PoolSchedulerPropertyTest {
    private static final int STEPS = 1_500;
    private static final int CEILING = 6;

    @Property(seed = "77", tries = 150, shrinking = ShrinkingMode.OFF)
    void promisesHoldUnderAnyOrderOfEvents(@ForAll long seed) {
        new World(seed).run();
    }

    /**
     * Keeps its own books on one scheduler and compares them with what the scheduler does.
     */
    private static final class World {
        private final Random random;
        private final PoolScheduler scheduler =
                new PoolScheduler(PoolSchedulerTest.pool(4, 30, CEILING), SchedulerOptions.STANDARD, "owner");
        private final Map<PermitId, PermitRequest> waiting = new HashMap<>();
        private final Map<PermitId, String> running = new HashMap<>();
        private final Map<PermitId, PermitRequest> sent = new HashMap<>();
        private final Set<String> leaving = new HashSet<>();
        private long now = 1_000_000;
        private long sequence;

        World(long seed) {
            random = new Random(seed);
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                now += random.nextInt(20_000);
                happen();
                check(scheduler.decide(now));
            }
            drain();
        }

        private void happen() {
            switch (random.nextInt(16)) {
                case 0, 1, 2, 3, 4, 5, 6 -> arrive();
                case 7, 8, 9, 10, 11 -> finishOne();
                case 12 -> cancelOne();
                case 13 -> repeatOne();
                case 14 -> report();
                default -> loseOrLeave();
            }
        }

        private void arrive() {
            PermitId id = new PermitId("entry-" + random.nextInt(3), 1, ++sequence);
            Tier tier = Tier.values()[random.nextInt(Tier.values().length)];
            long deadline = now + 10_000 + random.nextInt(2_000_000);
            Work work = new Work(random.nextInt(2_000), 1 + random.nextInt(100), List.of((long) random.nextInt(9)));
            PermitRequest request = new PermitRequest(
                    id, tier, "o" + random.nextInt(4), "r", deadline, work, "f" + random.nextInt(5_000));
            waiting.put(id, request);
            sent.put(id, request);
            scheduler.arrive(request, now);
        }

        private void finishOne() {
            PermitId id = any(running.keySet());
            if (id != null) {
                Ending ending = random.nextInt(4) > 0
                        ? Ending.ANSWERED
                        : Ending.values()[random.nextInt(Ending.values().length)];
                if (ending == Ending.DRAINING) {
                    leaving.add(running.get(id));
                }
                running.remove(id);
                int total = 1_000 + random.nextInt(200_000);
                scheduler.finish(id, new PermitOutcome(ending, total / 3, total, 1 + random.nextInt(100)), now);
            }
        }

        private void cancelOne() {
            PermitId id = any(random.nextBoolean() ? waiting.keySet() : running.keySet());
            if (id != null) {
                waiting.remove(id);
                running.remove(id);
                scheduler.cancel(id, now);
            }
        }

        private void repeatOne() {
            PermitId id = any(sent.keySet());
            if (id != null) {
                scheduler.arrive(sent.get(id), now);
            }
        }

        private void report() {
            String upstream = "u" + random.nextInt(4);
            scheduler.loadReported(upstream, random.nextInt(8), random.nextInt(3), now);
            scheduler.cacheChanged(upstream, random.nextInt(1_000), List.of(1L, 2L), List.of(3L));
            scheduler.firstToken(any(sent.keySet()), now);
        }

        private void loseOrLeave() {
            if (random.nextInt(8) == 0 && leaving.size() < 3) {
                String upstream = "u" + random.nextInt(4);
                leaving.add(upstream);
                scheduler.leaving(upstream);
            } else if (random.nextInt(4) == 0) {
                String entry = "entry-" + random.nextInt(3);
                waiting.keySet().removeIf(id -> id.node().equals(entry));
                running.keySet().removeIf(id -> id.node().equals(entry));
                scheduler.entryLost(entry, 1);
            }
        }

        private void check(List<PermitAction> actions) {
            for (PermitAction action : actions) {
                if (action instanceof PermitAction.Grant grant) {
                    checkGrant(grant);
                } else if (action instanceof PermitAction.Refuse refuse) {
                    checkRefusal(refuse);
                }
            }
            assertThat(scheduler.waiting()).isEqualTo(waiting.size());
            assertThat(scheduler.permitsInUse()).isEqualTo(running.size());
            for (PermitRequest request : waiting.values()) {
                assertThat(request.deadlineAt()).as("kept after its deadline").isGreaterThanOrEqualTo(now);
            }
            long members = scheduler.upstreams().stream()
                    .filter(UpstreamState::isMember)
                    .count();
            boolean usable = scheduler.upstreams().stream().anyMatch(upstream -> upstream.isUsable(now));
            assertThat(members == 0 || usable).as("a pool emptied by ejection").isTrue();
        }

        private void checkGrant(PermitAction.Grant grant) {
            String before = running.putIfAbsent(grant.id(), grant.upstream());
            assertThat(before == null || before.equals(grant.upstream()))
                    .as("granted twice")
                    .isTrue();
            boolean waited = waiting.remove(grant.id()) != null;
            assertThat(waited || before != null).as("granted after its end").isTrue();
            if (waited) {
                assertThat(leaving).doesNotContain(grant.upstream());
            }
            long inFlight =
                    running.values().stream().filter(grant.upstream()::equals).count();
            assertThat(inFlight).isLessThanOrEqualTo(CEILING);
        }

        private void checkRefusal(PermitAction.Refuse refuse) {
            PermitRequest refused = waiting.remove(refuse.id());
            assertThat(refused).as("refused without waiting").isNotNull();
            if (refuse.refusal().reason() == RefusalReason.OVERLOADED) {
                assertThat(waiting.values())
                        .as("a less urgent request was kept")
                        .noneMatch(kept -> refused.tier().isMoreUrgentThan(kept.tier()));
            }
        }

        private void drain() {
            for (PermitId id : new ArrayList<>(running.keySet())) {
                running.remove(id);
                scheduler.finish(id, PermitOutcome.of(Ending.ANSWERED), now);
            }
            for (int round = 0; round < 200; round++) {
                now += 20_000;
                check(scheduler.decide(now));
                for (PermitId id : new ArrayList<>(running.keySet())) {
                    running.remove(id);
                    scheduler.finish(id, PermitOutcome.of(Ending.ANSWERED), now);
                }
            }
            assertThat(waiting).as("left without an answer").isEmpty();
            assertThat(scheduler.permitsInUse()).as("leaked").isZero();
        }

        private PermitId any(Set<PermitId> ids) {
            List<PermitId> sorted = ids.stream().sorted().toList();
            return sorted.isEmpty() ? null : sorted.get(random.nextInt(sorted.size()));
        }
    }
}
