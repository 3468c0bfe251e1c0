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
final class SimulatedEngine {
    private final String name;
    private final EngineModel model;
    private final Listener listener;
    private final Deque<EngineRequest> waiting = new ArrayDeque<>();
    private final List<EngineRequest> runningRequests = new ArrayList<>();
    private final Map<Long, Boolean> cache;
    private final double normalSpeed;
    private double currentSpeed;
    private boolean up = true;
    private boolean stepScheduled;

    SimulatedEngine(String name, EngineModel model, double speed, Listener listener) {
        this.name = name;
        this.model = model;
        this.normalSpeed = speed;
        this.currentSpeed = speed;
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

    double normalSpeed() {
        return normalSpeed;
    }

    void setSpeed(double speed) {
        currentSpeed = speed;
    }

    int outstandingRequests() {
        return waiting.size() + runningRequests.size();
    }

    int runningRequests() {
        return runningRequests.size();
    }

    boolean isUp() {
        return up;
    }

    boolean hasCached(Long block) {
        return up && cache.containsKey(block);
    }

    void submit(Arrival arrival) {
        waiting.addLast(new EngineRequest(arrival));
        if (!stepScheduled) {
            startStep();
        }
    }

    /** Stops a request; what was computed for it is lost. */
    void cancel(Arrival arrival) {
        waiting.removeIf(run -> run.arrival == arrival);
        runningRequests.removeIf(run -> run.arrival == arrival);
    }

    /** Loses everything that runs and everything in the cache. */
    List<Arrival> crash() {
        List<Arrival> lost = new ArrayList<>();
        waiting.forEach(run -> lost.add(run.arrival));
        runningRequests.forEach(run -> lost.add(run.arrival));
        waiting.clear();
        runningRequests.clear();
        cache.clear();
        up = false;
        return lost;
    }

    void restart() {
        up = true;
        stepScheduled = false;
    }

    private void startStep() {
        while (runningRequests.size() < model.batchSize() && !waiting.isEmpty()) {
            EngineRequest run = waiting.removeFirst();
            run.uncachedPromptTokens = uncachedTokens(run.arrival);
            run.remainingPrefillTokens = run.uncachedPromptTokens;
            runningRequests.add(run);
        }
        if (runningRequests.isEmpty() || !up) {
            stepScheduled = false;
            return;
        }
        stepScheduled = true;
        int budget = model.prefillTokensPerStep();
        int computed = 0;
        int decoding = 0;
        for (EngineRequest run : runningRequests) {
            int part = Math.min(budget - computed, run.remainingPrefillTokens);
            run.stepPrefillTokens = part;
            computed += part;
            decoding += run.remainingPrefillTokens == 0 ? 1 : 0;
        }
        double micros = (model.stepMicros()
                        + decoding * model.decodeMicrosPerSequence()
                        + computed * model.prefillMicrosPerToken())
                / currentSpeed;
        List<EngineRequest> stepped = List.copyOf(runningRequests);
        listener.scheduleAfter(() -> finishStep(stepped), (long) micros);
    }

    private void finishStep(List<EngineRequest> stepped) {
        if (!up) {
            return;
        }
        for (EngineRequest run : stepped) {
            if (run.remainingPrefillTokens > 0) {
                computePrefill(run);
            } else if (runningRequests.contains(run)) {
                run.outputTokens++;
                if (run.outputTokens == 1) {
                    listener.onFirstToken(this, run.arrival, run.uncachedPromptTokens);
                }
            }
        }
        List<EngineRequest> ended = new ArrayList<>();
        Iterator<EngineRequest> remaining = runningRequests.iterator();
        while (remaining.hasNext()) {
            EngineRequest run = remaining.next();
            if (run.outputTokens >= run.arrival.outputTokens()) {
                remaining.remove();
                ended.add(run);
            }
        }
        startStep();
        ended.forEach(run -> listener.onAnswerComplete(this, run.arrival));
    }

    private void computePrefill(EngineRequest run) {
        run.remainingPrefillTokens -= run.stepPrefillTokens;
        listener.onPrefill(this, run.arrival, run.stepPrefillTokens);
        if (run.remainingPrefillTokens == 0) {
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
    private static final class EngineRequest {
        private final Arrival arrival;
        private int uncachedPromptTokens;
        private int remainingPrefillTokens;
        private int stepPrefillTokens;
        private int outputTokens;

        EngineRequest(Arrival arrival) {
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
        void scheduleAfter(Runnable action, long micros);

        /**
         * Learns that prompt tokens were computed.
         *
         * @param engine the engine.
         * @param arrival the request.
         * @param tokens the number of tokens.
         */
        void onPrefill(SimulatedEngine engine, Arrival arrival, int tokens);

        /**
         * Learns that the first token of an answer came.
         *
         * @param engine the engine.
         * @param arrival the request.
         * @param uncached how many prompt tokens had to be computed.
         */
        void onFirstToken(SimulatedEngine engine, Arrival arrival, int uncached);

        /**
         * Learns that an answer is whole.
         *
         * @param engine the engine.
         * @param arrival the request.
         */
        void onAnswerComplete(SimulatedEngine engine, Arrival arrival);
    }
}
