package org.radishspur.testkit.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;

import org.radishspur.decision.permit.PermitOutcome.Ending;
import org.radishspur.model.request.Tier;

/**
 * Runs one workload on one pool of simulated engines, of which one slows down and another crashes.
 */
final class PoolExperiment implements SimulatedEngine.Listener, Dispatcher.EnginePool {
    static final double[] ENGINE_SPEEDS = {2, 2, 1, 1, 1, 0.5, 0.5, 0.5};
    static final long HORIZON_MICROS = 120_000_000;

    private static final int SLOW_ENGINE = 2;
    private static final int CRASHING_ENGINE = 0;
    private static final long SLOW_FROM_MICROS = 40_000_000;
    private static final long SLOW_UNTIL_MICROS = 70_000_000;
    private static final long CRASH_AT_MICROS = 60_000_000;
    private static final long DOWNTIME_MICROS = 10_000_000;
    private static final double SLOWDOWN_FACTOR = 10;
    private static final long TICK_MICROS = 20_000;
    private static final long REPORT_INTERVAL_MICROS = 1_000_000;
    private static final int MAXIMUM_REPORT_DELAY_MICROS = 3_000_000;

    private final List<Arrival> arrivals;
    private final Map<String, SimulatedEngine> engines = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Integer, String> engineByRequest = new HashMap<>();
    private final Map<Integer, Integer> computedTokensByRequest = new HashMap<>();
    private final Map<Integer, Ending> endings = new HashMap<>();
    private final Map<Integer, Long> endedAt = new HashMap<>();
    private final Random random;
    private final Dispatcher dispatcher;
    private final EngineModel model;
    private final ExperimentResult result;
    private long now;
    private long sequence;

    PoolExperiment(
            long seed,
            EngineModel model,
            List<Arrival> arrivals,
            boolean faults,
            Function<Dispatcher.EnginePool, Dispatcher> dispatcher) {
        this.arrivals = arrivals;
        this.model = model;
        this.random = new Random(seed);
        for (int index = 0; index < ENGINE_SPEEDS.length; index++) {
            String name = "engine-" + index;
            engines.put(name, new SimulatedEngine(name, model, ENGINE_SPEEDS[index], this));
        }
        this.dispatcher = dispatcher.apply(this);
        this.result = new ExperimentResult(model, arrivals);
        if (faults) {
            scheduleFaults();
        }
    }

    static double totalSpeed() {
        double total = 0;
        for (double speed : ENGINE_SPEEDS) {
            total += speed;
        }
        return total;
    }

    /** Returns the engine time within the horizon, less the time lost to the faults, in microseconds at speed 1. */
    static double capacityMicros(boolean faults) {
        double lost = (SLOW_UNTIL_MICROS - SLOW_FROM_MICROS) * ENGINE_SPEEDS[SLOW_ENGINE] * (1 - 1 / SLOWDOWN_FACTOR)
                + DOWNTIME_MICROS * ENGINE_SPEEDS[CRASHING_ENGINE];
        return totalSpeed() * HORIZON_MICROS - (faults ? lost : 0);
    }

    ExperimentResult run() {
        for (Arrival arrival : arrivals) {
            scheduleAt(arrival.arrivesAt(), () -> dispatcher.onArrival(arrival, now));
            scheduleAt(arrival.deadlineAt(), () -> cancelAtDeadline(arrival));
        }
        long end = HORIZON_MICROS + HORIZON_MICROS;
        for (long tick = 0; tick < end; tick += TICK_MICROS) {
            scheduleAt(tick, () -> dispatcher.onTick(now));
        }
        for (long report = 0; report < HORIZON_MICROS; report += REPORT_INTERVAL_MICROS) {
            scheduleAt(report, this::scheduleLoadReports);
        }
        while (!events.isEmpty() && now < end) {
            Event event = events.remove();
            now = event.dueAt();
            event.action().run();
        }
        for (Arrival arrival : arrivals) {
            result.recordEnding(
                    arrival,
                    endings.get(arrival.number()) == Ending.ANSWERED,
                    endedAt.getOrDefault(arrival.number(), Long.MAX_VALUE) <= HORIZON_MICROS,
                    computedTokensByRequest.getOrDefault(arrival.number(), 0));
        }
        return result;
    }

    private void scheduleFaults() {
        SimulatedEngine slow = engines.get("engine-" + SLOW_ENGINE);
        scheduleAt(SLOW_FROM_MICROS, () -> slow.setSpeed(slow.normalSpeed() / SLOWDOWN_FACTOR));
        scheduleAt(SLOW_UNTIL_MICROS, () -> slow.setSpeed(slow.normalSpeed()));
        SimulatedEngine crashing = engines.get("engine-" + CRASHING_ENGINE);
        scheduleAt(CRASH_AT_MICROS, () -> {
            for (Arrival lost : crashing.crash()) {
                recordEnding(lost, Ending.CONNECTION_LOST);
            }
        });
        scheduleAt(CRASH_AT_MICROS + DOWNTIME_MICROS, crashing::restart);
    }

    private void scheduleLoadReports() {
        for (SimulatedEngine engine : engines.values()) {
            int running = engine.runningRequests();
            int waiting = engine.outstandingRequests() - running;
            scheduleAfter(
                    () -> dispatcher.onLoadReport(engine.name(), running, waiting, now),
                    random.nextInt(MAXIMUM_REPORT_DELAY_MICROS));
        }
    }

    private void cancelAtDeadline(Arrival arrival) {
        if (!endings.containsKey(arrival.number())) {
            String engine = engineByRequest.get(arrival.number());
            if (engine != null) {
                engines.get(engine).cancel(arrival);
            }
            recordEnding(arrival, Ending.CANCELLED);
        }
    }

    private void retry(Arrival arrival) {
        if (!endings.containsKey(arrival.number())) {
            dispatcher.onUnreachable(arrival, now);
        }
    }

    private void recordEnding(Arrival arrival, Ending ending) {
        if (endings.putIfAbsent(arrival.number(), ending) == null) {
            endedAt.put(arrival.number(), now);
            dispatcher.onEnd(arrival, ending, now);
        }
    }

    private void scheduleAt(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    /** {@inheritDoc} */
    @Override
    public List<SimulatedEngine> engines() {
        List<SimulatedEngine> up = new ArrayList<>(engines.values());
        if (now > 0) {
            up.removeIf(engine -> !engine.isUp());
        }
        return up;
    }

    /** {@inheritDoc} */
    @Override
    public void dispatch(Arrival arrival, String name) {
        SimulatedEngine engine = engines.get(name);
        engineByRequest.put(arrival.number(), name);
        if (engine.isUp()) {
            engine.submit(arrival);
        } else {
            scheduleAfter(() -> retry(arrival), 1);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void refuse(Arrival arrival) {
        endings.putIfAbsent(arrival.number(), Ending.UNUSED);
        result.recordRefusal(arrival);
    }

    /** {@inheritDoc} */
    @Override
    public void scheduleAfter(Runnable action, long micros) {
        scheduleAt(now + Math.max(1, micros), action);
    }

    /** {@inheritDoc} */
    @Override
    public void onPrefill(SimulatedEngine engine, Arrival arrival, int tokens) {
        computedTokensByRequest.merge(arrival.number(), tokens, Integer::sum);
        result.addComputedTokens(tokens);
    }

    /** {@inheritDoc} */
    @Override
    public void onFirstToken(SimulatedEngine engine, Arrival arrival, int uncached) {
        int redundant = 0;
        int cachedHere = (arrival.promptTokens() - uncached) / org.radishspur.decision.permit.RequestSize.BLOCK_TOKENS;
        List<Long> blocks = arrival.blocks();
        for (int block = cachedHere; block < arrival.prefixBlocks(); block++) {
            Long name = blocks.get(block);
            if (engines.values().stream().anyMatch(other -> other != engine && other.hasCached(name))) {
                redundant += org.radishspur.decision.permit.RequestSize.BLOCK_TOKENS;
            }
        }
        result.recordRedundantTokens(arrival, redundant);
        dispatcher.onFirstToken(arrival, now);
    }

    /** {@inheritDoc} */
    @Override
    public void onAnswerComplete(SimulatedEngine engine, Arrival arrival) {
        recordEnding(arrival, Ending.ANSWERED);
    }

    /**
     * Holds an action that is due at a point of virtual time.
     *
     * @param dueAt the time in microseconds.
     * @param sequence the order of events that are due at the same time.
     * @param action the action.
     */
    private record Event(long dueAt, long sequence, Runnable action) implements Comparable<Event> {
        /** {@inheritDoc} */
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(dueAt, other.dueAt);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    static boolean isUrgent(Arrival arrival) {
        return arrival.tier() == Tier.URGENT;
    }
}
