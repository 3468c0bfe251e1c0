package org.radishspur.testkit.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.permit.Work;

/**
 * Stands in for a model engine: it batches continuously, caches prompt blocks, admits whatever comes, and knows no
 * priorities.
 */
final class FakeEngine {
    private final String name;
    private final EngineModel model;
    private final Listener listener;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<Long, Boolean> cache;
    private final double usualSpeed;
    private double speed;
    private boolean up = true;
    private boolean stepping;

    FakeEngine(String name, EngineModel model, double speed, Listener listener) {
        this.name = name;
        this.model = model;
        this.usualSpeed = speed;
        this.speed = speed;
        this.listener = listener;
        this.cache = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > model.cacheBlocks();
            }
        };
    }

    String name() {
        return name;
    }

    double usualSpeed() {
        return usualSpeed;
    }

    void speed(double changed) {
        speed = changed;
    }

    int load() {
        return waiting.size() + running.size();
    }

    int running() {
        return running.size();
    }

    boolean isUp() {
        return up;
    }

    boolean holds(Long block) {
        return up && cache.containsKey(block);
    }

    void submit(Arrival arrival) {
        waiting.addLast(new Run(arrival));
        if (!stepping) {
            step();
        }
    }

    /** Stops a request; what was computed for it is lost. */
    void cancel(Arrival arrival) {
        waiting.removeIf(run -> run.arrival == arrival);
        running.removeIf(run -> run.arrival == arrival);
    }

    /** Loses everything that runs and everything in the cache. */
    List<Arrival> crash() {
        List<Arrival> lost = new ArrayList<>();
        waiting.forEach(run -> lost.add(run.arrival));
        running.forEach(run -> lost.add(run.arrival));
        waiting.clear();
        running.clear();
        cache.clear();
        up = false;
        return lost;
    }

    void restart() {
        up = true;
        stepping = false;
    }

    private void step() {
        while (running.size() < model.batch() && !waiting.isEmpty()) {
            Run run = waiting.removeFirst();
            run.uncached = uncachedTokens(run.arrival);
            run.toCompute = run.uncached;
            running.add(run);
        }
        if (running.isEmpty() || !up) {
            stepping = false;
            return;
        }
        stepping = true;
        int budget = model.prefillTokensPerStep();
        int computed = 0;
        int decoding = 0;
        for (Run run : running) {
            int part = Math.min(budget - computed, run.toCompute);
            run.part = part;
            computed += part;
            decoding += run.toCompute == 0 ? 1 : 0;
        }
        double micros =
                (model.stepMicros() + decoding * model.sequenceMicros() + computed * model.prefillMicros()) / speed;
        List<Run> stepped = List.copyOf(running);
        listener.later(() -> endStep(stepped), (long) micros);
    }

    private void endStep(List<Run> stepped) {
        if (!up) {
            return;
        }
        for (Run run : stepped) {
            if (run.toCompute > 0) {
                compute(run);
            } else if (running.contains(run)) {
                run.produced++;
                if (run.produced == 1) {
                    listener.onFirstToken(this, run.arrival, run.uncached);
                }
            }
        }
        List<Run> ended = new ArrayList<>();
        Iterator<Run> remaining = running.iterator();
        while (remaining.hasNext()) {
            Run run = remaining.next();
            if (run.produced >= run.arrival.outputTokens()) {
                remaining.remove();
                ended.add(run);
            }
        }
        step();
        ended.forEach(run -> listener.onEnd(this, run.arrival));
    }

    private void compute(Run run) {
        run.toCompute -= run.part;
        listener.onPrefill(this, run.arrival, run.part);
        if (run.toCompute == 0) {
            run.arrival.blocks().forEach(block -> cache.put(block, Boolean.TRUE));
        }
    }

    private int uncachedTokens(Arrival arrival) {
        int held = 0;
        for (Long block : arrival.blocks()) {
            if (!cache.containsKey(block)) {
                break;
            }
            cache.get(block);
            held++;
        }
        return Math.max(1, arrival.promptTokens() - held * Work.BLOCK_TOKENS);
    }

    /**
     * Holds one request in the engine.
     */
    private static final class Run {
        private final Arrival arrival;
        private int uncached;
        private int toCompute;
        private int part;
        private int produced;

        Run(Arrival arrival) {
            this.arrival = arrival;
        }
    }

    /**
     * Receives what an engine does.
     */
    interface Listener {
        /**
         * Runs an action later.
         *
         * @param action the action.
         * @param micros how much later.
         */
        void later(Runnable action, long micros);

        /**
         * Learns that prompt tokens were computed.
         *
         * @param engine the engine.
         * @param arrival the request.
         * @param tokens the number of tokens.
         */
        void onPrefill(FakeEngine engine, Arrival arrival, int tokens);

        /**
         * Learns that the first token of an answer came.
         *
         * @param engine the engine.
         * @param arrival the request.
         * @param uncached how many prompt tokens had to be computed.
         */
        void onFirstToken(FakeEngine engine, Arrival arrival, int uncached);

        /**
         * Learns that an answer is whole.
         *
         * @param engine the engine.
         * @param arrival the request.
         */
        void onEnd(FakeEngine engine, Arrival arrival);
    }
}
