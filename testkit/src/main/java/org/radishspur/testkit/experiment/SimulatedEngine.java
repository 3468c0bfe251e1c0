package org.radishspur.testkit.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.permit.RequestSize;

/**
 * Simulates a model engine with continuous batching and a cache of prompt blocks. It accepts every request and has no
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

    /** Cancels a request; the tokens computed for it are lost. */
    void cancel(Arrival arrival) {
        waiting.removeIf(request -> request.arrival == arrival);
        runningRequests.removeIf(request -> request.arrival == arrival);
    }

    /** Drops all requests and the cache, and returns the dropped requests. */
    List<Arrival> crash() {
        List<Arrival> lost = new ArrayList<>();
        waiting.forEach(request -> lost.add(request.arrival));
        runningRequests.forEach(request -> lost.add(request.arrival));
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
            EngineRequest request = waiting.removeFirst();
            request.uncachedPromptTokens = uncachedTokens(request.arrival);
            request.remainingPrefillTokens = request.uncachedPromptTokens;
            runningRequests.add(request);
        }
        if (runningRequests.isEmpty() || !up) {
            stepScheduled = false;
            return;
        }
        stepScheduled = true;
        int budget = model.prefillTokensPerStep();
        int computed = 0;
        int decoding = 0;
        for (EngineRequest request : runningRequests) {
            int prefillTokens = Math.min(budget - computed, request.remainingPrefillTokens);
            request.stepPrefillTokens = prefillTokens;
            computed += prefillTokens;
            decoding += request.remainingPrefillTokens == 0 ? 1 : 0;
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
        for (EngineRequest request : stepped) {
            if (request.remainingPrefillTokens > 0) {
                computePrefill(request);
            } else if (runningRequests.contains(request)) {
                request.outputTokens++;
                if (request.outputTokens == 1) {
                    listener.onFirstToken(this, request.arrival, request.uncachedPromptTokens);
                }
            }
        }
        List<EngineRequest> ended = new ArrayList<>();
        Iterator<EngineRequest> remaining = runningRequests.iterator();
        while (remaining.hasNext()) {
            EngineRequest request = remaining.next();
            if (request.outputTokens >= request.arrival.outputTokens()) {
                remaining.remove();
                ended.add(request);
            }
        }
        startStep();
        ended.forEach(request -> listener.onAnswerComplete(this, request.arrival));
    }

    private void computePrefill(EngineRequest request) {
        request.remainingPrefillTokens -= request.stepPrefillTokens;
        listener.onPrefill(this, request.arrival, request.stepPrefillTokens);
        if (request.remainingPrefillTokens == 0) {
            request.arrival.blocks().forEach(block -> cache.put(block, Boolean.TRUE));
        }
    }

    private int uncachedTokens(Arrival arrival) {
        int cachedBlocks = 0;
        for (Long block : arrival.blocks()) {
            if (!cache.containsKey(block)) {
                break;
            }
            // Marks the block as recently used.
            cache.get(block);
            cachedBlocks++;
        }
        return Math.max(1, arrival.promptTokens() - cachedBlocks * RequestSize.BLOCK_TOKENS);
    }

    /**
     * Tracks the progress of one request in the engine.
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
     * Schedules the steps of an engine and receives its events.
     */
    interface Listener {
        /**
         * Runs an action later.
         *
         * @param action the action.
         * @param micros the delay in microseconds.
         */
        void scheduleAfter(Runnable action, long micros);

        /**
         * Handles the computation of prompt tokens.
         *
         * @param engine the engine.
         * @param arrival the request.
         * @param tokens the number of tokens.
         */
        void onPrefill(SimulatedEngine engine, Arrival arrival, int tokens);

        /**
         * Handles the first token of an answer.
         *
         * @param engine the engine.
         * @param arrival the request.
         * @param uncached how many prompt tokens had to be computed.
         */
        void onFirstToken(SimulatedEngine engine, Arrival arrival, int uncached);

        /**
         * Handles the completion of an answer.
         *
         * @param engine the engine.
         * @param arrival the request.
         */
        void onAnswerComplete(SimulatedEngine engine, Arrival arrival);
    }
}
