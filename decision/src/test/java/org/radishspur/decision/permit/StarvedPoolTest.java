package org.radishspur.decision.permit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.radishspur.decision.permit.PermitOutcome.Ending;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.UpstreamRow;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends a thousand requests to two engines whose hosts get no CPU time for a while.
 */
class StarvedPoolTest {
    private static final int REQUESTS = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long DEADLINE_MICROS = 60 * MICROS_PER_SECOND;
    private static final long DURATION_MICROS = 3 * DEADLINE_MICROS;
    private static final long STEP_MICROS = 25 * MICROS_PER_MILLI;

    /**
     * Guards against refusing a request with a minute to its deadline because of speeds measured while the hosts
     * stalled.
     */
    @Property(tries = 60, seed = "36")
    void noRequestWithAMinuteToItsDeadlineIsRefused(
            @ForAll @LongRange(min = 0, max = 2_000) long starvedAfterMillis,
            @ForAll @LongRange(min = 0, max = 5_000) long starvedMillis,
            @ForAll @IntRange(min = 1, max = 500) int arrivalGapMicros,
            @ForAll long seed) {
        Pauses pauses = new Pauses().add(starvedAfterMillis, starvedMillis);
        assertThat(refusals(pauses, arrivalGapMicros, seed)).isEmpty();
    }

    /** Guards against the same while requests still arrive after the first answers of the stall. */
    @Property(tries = 300, seed = "43")
    void noRequestThatArrivesAfterTheStallIsRefused(
            @ForAll @LongRange(min = 0, max = 2_000) long starvedAfterMillis,
            @ForAll @LongRange(min = 0, max = 5_000) long starvedMillis,
            @ForAll @IntRange(min = 1, max = 20_000) int arrivalGapMicros,
            @ForAll long seed) {
        Pauses pauses = new Pauses().add(starvedAfterMillis, starvedMillis);
        assertThat(refusals(pauses, arrivalGapMicros, seed)).isEmpty();
    }

    /** Guards against the same on hosts that stall again and again, a third of the time to the deadline in all. */
    @Property(tries = 300, seed = "43")
    void noRequestIsRefusedBetweenRepeatedStalls(
            @ForAll @Size(min = 2, max = 10) List<@LongRange(min = 1, max = 2_000) Long> stallMillis,
            @ForAll @LongRange(min = 1, max = 2_000) long maxGapMillis,
            @ForAll @IntRange(min = 1, max = 20_000) int arrivalGapMicros,
            @ForAll long seed) {
        Random random = new Random(seed);
        Pauses pauses = new Pauses();
        long beginsAt = 0;
        for (long millis : stallMillis) {
            beginsAt += random.nextLong(maxGapMillis);
            pauses.add(beginsAt, millis);
            beginsAt += millis;
        }
        assertThat(refusals(pauses, arrivalGapMicros, seed)).isEmpty();
    }

    private static List<PermitAction.Refuse> refusals(Pauses pauses, int arrivalGapMicros, long seed) {
        List<UpstreamRow> rows = List.of(
                new UpstreamRow("fast", "127.0.0.1:1", "domain", "hardware", false),
                new UpstreamRow("slow", "127.0.0.1:2", "domain", "hardware", false));
        Map<String, Long> tokenMicros = Map.of("fast", 500L, "slow", 2_000L);
        PoolScheduler scheduler = new PoolScheduler(
                new PoolRow("pool", PoolKind.ENGINE, rows, 5_000, 512, Map.of()), SchedulerOptions.DEFAULTS, "owner");
        Random random = new Random(seed);
        long beginAt = MICROS_PER_SECOND;
        PriorityQueue<Answer> running = new PriorityQueue<>(Comparator.comparingLong(Answer::endAt));
        Map<PermitId, Integer> tokens = new HashMap<>();
        List<PermitAction.Refuse> refused = new ArrayList<>();
        int sent = 0;
        for (long now = beginAt;
                now < beginAt + DURATION_MICROS && (sent < REQUESTS || !running.isEmpty());
                now += STEP_MICROS) {
            while (sent < REQUESTS && now - beginAt >= sent * arrivalGapMicros) {
                PermitId id = new PermitId("entry", 1, sent);
                tokens.put(id, sent % 10 == 0 ? 100 : 1 + sent % 7);
                scheduler.submit(
                        new PermitRequest(
                                id,
                                Tier.NORMAL,
                                "organisation",
                                "route",
                                now + DEADLINE_MICROS,
                                new RequestSize(3, 256, List.of()),
                                "print" + sent),
                        now);
                sent++;
            }
            while (!running.isEmpty() && running.peek().endAt() <= now) {
                Answer answer = running.remove();
                long total = answer.endAt() - answer.startedAt();
                scheduler.finish(
                        answer.id(),
                        new PermitOutcome(Ending.ANSWERED, total / 4, total, tokens.get(answer.id())),
                        now);
            }
            for (PermitAction action : scheduler.decide(now)) {
                if (action instanceof PermitAction.Refuse refuse) {
                    refused.add(refuse);
                } else if (action instanceof PermitAction.Grant grant) {
                    long serviceMicros =
                            2 * MICROS_PER_MILLI + tokens.get(grant.id()) * tokenMicros.get(grant.upstream());
                    long end = beginAt + pauses.endOf(now - beginAt, serviceMicros, random);
                    running.add(new Answer(grant.id(), now, end));
                }
            }
        }
        return refused;
    }

    /**
     * Times at which the hosts of the engines get no CPU time, in the order of their beginnings.
     */
    private static final class Pauses {
        private final List<long[]> pauses = new ArrayList<>();

        Pauses add(long beginsAtMillis, long millis) {
            long beginsAt = beginsAtMillis * MICROS_PER_MILLI;
            pauses.add(new long[] {beginsAt, beginsAt + millis * MICROS_PER_MILLI});
            return this;
        }

        /** Returns when a request that starts at a time ends; it starts over up to a second after a pause. */
        long endOf(long startedAt, long serviceMicros, Random random) {
            long end = startedAt + serviceMicros;
            for (long[] pause : pauses) {
                if (end >= pause[0] && startedAt < pause[1]) {
                    end = pause[1] + random.nextInt((int) MICROS_PER_SECOND) + serviceMicros;
                }
            }
            return end;
        }
    }

    /**
     * An answer that is not complete yet.
     *
     * @param id the attempt.
     * @param startedAt when it was granted, in microseconds.
     * @param endAt when it is complete, in microseconds.
     */
    private record Answer(PermitId id, long startedAt, long endAt) {}
}
