package org.radishspur.testkit.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;

import org.radishspur.decision.permit.PermitAction;
import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.decision.permit.PermitRequest;
import org.radishspur.decision.permit.PoolScheduler;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.decision.permit.SchedulerOptions;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.UpstreamRow;
import picocli.CommandLine.Command;

/**
 * Measures how long the scheduler takes for one finished request, one arrival and the grants that follow, with requests
 * in the queue.
 */
@Command(name = "decisions", mixinStandardHelpOptions = true)
final class MeasureDecisions implements Callable<Integer> {
    private static final int ROUNDS = 20_000;
    private static final long HOUR_MICROS = 3_600_000_000L;

    private final Random random = new Random(5);
    private long lastSequence;
    private long nowMicros = 1_000_000;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        measure(32, 1_000);
        for (int upstreams : new int[] {32, 1_000}) {
            for (int waiting : new int[] {100, 1_000, 10_000, 100_000}) {
                measure(upstreams, waiting);
            }
        }
        return 0;
    }

    private void measure(int upstreams, int waiting) {
        List<UpstreamRow> rows = new ArrayList<>();
        for (int index = 0; index < upstreams; index++) {
            rows.add(new UpstreamRow("u" + index, "127.0.0.1:1", "domain", "hardware", false));
        }
        PoolRow row = new PoolRow("pool", PoolKind.ENGINE, rows, 1_000_000, 8, Map.of());
        PoolScheduler scheduler = new PoolScheduler(row, SchedulerOptions.DEFAULTS, "measure");
        Deque<PermitId> running = new ArrayDeque<>();
        for (int request = 0; request < upstreams * 8; request++) {
            scheduler.submit(request(), nowMicros);
        }
        runDecisions(scheduler, running);
        long before = Samples.usedHeap();
        for (int request = 0; request < waiting; request++) {
            scheduler.submit(request(), nowMicros);
        }
        long bytes = (Samples.usedHeap() - before) / waiting;
        Samples samples = new Samples();
        for (int round = 0; round < ROUNDS; round++) {
            nowMicros += 1_000;
            PermitId ended = running.removeFirst();
            PermitRequest next = request();
            long beganAt = System.nanoTime();
            scheduler.finish(ended, new PermitOutcome(PermitOutcome.Ending.ANSWERED, 50_000, 500_000, 100), nowMicros);
            scheduler.submit(next, nowMicros);
            List<PermitAction> actions = scheduler.decide(nowMicros);
            if (round > ROUNDS / 4) {
                samples.add(System.nanoTime() - beganAt);
            }
            actions.forEach(action -> addGranted(action, running));
        }
        System.out.printf(
                Locale.ROOT,
                "upstreams=%d waiting=%d: p50 %.1f us, p99 %.1f us per finish, arrival and grant; %d bytes per waiting"
                        + " request%n",
                upstreams,
                waiting,
                samples.medianMicros(),
                samples.p99Micros(),
                bytes);
    }

    private void runDecisions(PoolScheduler scheduler, Deque<PermitId> running) {
        scheduler.decide(nowMicros).forEach(action -> addGranted(action, running));
    }

    private static void addGranted(PermitAction action, Deque<PermitId> running) {
        if (action instanceof PermitAction.Grant grant) {
            running.addLast(grant.id());
        }
    }

    private PermitRequest request() {
        List<Long> prefix = new ArrayList<>();
        long topic = random.nextInt(50);
        for (long block = 0; block < 16; block++) {
            prefix.add(topic * 1_000 + block);
        }
        return new PermitRequest(
                new PermitId("entry", 1, ++lastSequence),
                Tier.values()[random.nextInt(Tier.values().length)],
                "organisation-" + random.nextInt(200),
                "route",
                nowMicros + HOUR_MICROS * 10 + random.nextInt(1_000_000),
                new RequestSize(1_200, 100, prefix),
                "fingerprint-" + lastSequence);
    }
}
