package org.radishspur.testkit.experiment;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.radishspur.decision.permit.PermitAction;
import org.radishspur.decision.permit.PermitOutcome;
import org.radishspur.decision.permit.PermitRequest;
import org.radishspur.decision.permit.PoolScheduler;
import org.radishspur.decision.permit.RequestSize;
import org.radishspur.decision.permit.SchedulerOptions;
import org.radishspur.model.request.PermitId;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.UpstreamRow;

/**
 * Decides when each request is dispatched, and to which engine.
 */
interface Dispatcher {

    /**
     * Handles the arrival of a request.
     *
     * @param arrival the request.
     * @param now the current virtual time in microseconds.
     */
    void onArrival(Arrival arrival, long now);

    /**
     * Handles the first token of an answer.
     *
     * @param arrival the request.
     * @param now the current virtual time in microseconds.
     */
    default void onFirstToken(Arrival arrival, long now) {}

    /**
     * Handles an attempt whose engine could not be reached, so that the request provably did not run.
     *
     * @param arrival the request.
     * @param now the current virtual time in microseconds.
     */
    default void onUnreachable(Arrival arrival, long now) {
        onArrival(arrival, now);
    }

    /**
     * Handles the end of an attempt.
     *
     * @param arrival the request.
     * @param ending how it ended.
     * @param now the current virtual time in microseconds.
     */
    default void onEnd(Arrival arrival, PermitOutcome.Ending ending, long now) {}

    /**
     * Handles an engine's load report, which is out of date when it arrives.
     *
     * @param engine the name of the engine.
     * @param running the number of requests that it ran.
     * @param waiting the number of requests that waited inside it.
     * @param now the current virtual time in microseconds.
     */
    default void onLoadReport(String engine, int running, int waiting, long now) {}

    /**
     * Handles a clock tick.
     *
     * @param now the current virtual time in microseconds.
     */
    default void onTick(long now) {}

    /**
     * Gives a dispatcher its engines and carries out its decisions.
     */
    interface EnginePool {
        /**
         * Returns the engines that are up.
         *
         * @return the engines.
         */
        List<SimulatedEngine> engines();

        /**
         * Dispatches a request to an engine.
         *
         * @param arrival the request.
         * @param engine the name of the engine.
         */
        void dispatch(Arrival arrival, String engine);

        /**
         * Refuses a request, which is not retried.
         *
         * @param arrival the request.
         */
        void refuse(Arrival arrival);
    }

    /**
     * Dispatches requests to the engines in turn.
     */
    final class RoundRobin implements Dispatcher {
        private final EnginePool pool;
        private int next;

        RoundRobin(EnginePool pool) {
            this.pool = pool;
        }

        /** {@inheritDoc} */
        @Override
        public void onArrival(Arrival arrival, long now) {
            List<SimulatedEngine> engines = pool.engines();
            pool.dispatch(arrival, engines.get(next++ % engines.size()).name());
        }
    }

    /**
     * Dispatches each request to the engine with the fewest outstanding requests.
     */
    final class LeastOutstanding implements Dispatcher {
        private final EnginePool pool;

        LeastOutstanding(EnginePool pool) {
            this.pool = pool;
        }

        /** {@inheritDoc} */
        @Override
        public void onArrival(Arrival arrival, long now) {
            SimulatedEngine leastLoaded = pool.engines().stream()
                    .min(Comparator.comparingInt(SimulatedEngine::outstandingRequests))
                    .orElseThrow();
            pool.dispatch(arrival, leastLoaded.name());
        }
    }

    /**
     * Dispatches as the product's scheduler decides.
     */
    final class Scheduled implements Dispatcher {
        private static final int QUEUE_LIMIT = 2_000;
        /** Distinguishes the permit ids of a request's attempts; larger than the number of requests of a workload. */
        private static final long SEQUENCES_PER_ATTEMPT = 1_000_000;

        private final EnginePool pool;
        private final PoolScheduler scheduler;
        private final Map<PermitId, Arrival> arrivals = new HashMap<>();
        private final Map<Integer, Integer> attempts = new HashMap<>();
        private final Map<Integer, Long> dispatchedAt = new HashMap<>();
        private final Map<Integer, Long> firstTokenAt = new HashMap<>();

        Scheduled(EnginePool pool, SchedulerOptions options, int concurrencyLimit) {
            this.pool = pool;
            List<UpstreamRow> rows = pool.engines().stream()
                    .map(engine -> new UpstreamRow(
                            engine.name(), "127.0.0.1:1", "domain", "speed-" + engine.normalSpeed(), false))
                    .toList();
            PoolRow row = new PoolRow("pool", PoolKind.ENGINE, rows, QUEUE_LIMIT, concurrencyLimit, Map.of());
            scheduler = new PoolScheduler(row, options, "experiment");
        }

        /** {@inheritDoc} */
        @Override
        public void onArrival(Arrival arrival, long now) {
            PermitId id = permitIdOf(arrival);
            arrivals.put(id, arrival);
            scheduler.submit(
                    new PermitRequest(
                            id,
                            arrival.tier(),
                            arrival.organisation(),
                            "route",
                            arrival.deadlineAt(),
                            new RequestSize(arrival.promptTokens(), arrival.announcedTokens(), arrival.blocks()),
                            "request-" + arrival.number()),
                    now);
            applyDecisions(now);
        }

        /** {@inheritDoc} */
        @Override
        public void onUnreachable(Arrival arrival, long now) {
            scheduler.finish(permitIdOf(arrival), PermitOutcome.of(PermitOutcome.Ending.UNREACHABLE), now);
            attempts.merge(arrival.number(), 1, Integer::sum);
            onArrival(arrival, now);
        }

        /** {@inheritDoc} */
        @Override
        public void onFirstToken(Arrival arrival, long now) {
            firstTokenAt.put(arrival.number(), now);
            scheduler.firstToken(permitIdOf(arrival), now);
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd(Arrival arrival, PermitOutcome.Ending ending, long now) {
            long startedAt = dispatchedAt.getOrDefault(arrival.number(), now);
            long firstTokenMicros = firstTokenAt.getOrDefault(arrival.number(), startedAt) - startedAt;
            if (ending == PermitOutcome.Ending.CANCELLED) {
                scheduler.cancel(permitIdOf(arrival), now);
            } else {
                scheduler.finish(
                        permitIdOf(arrival),
                        new PermitOutcome(ending, firstTokenMicros, now - startedAt, arrival.outputTokens()),
                        now);
            }
            applyDecisions(now);
        }

        /** {@inheritDoc} */
        @Override
        public void onLoadReport(String engine, int running, int waiting, long now) {
            scheduler.loadReported(engine, running, waiting, now);
        }

        /** {@inheritDoc} */
        @Override
        public void onTick(long now) {
            applyDecisions(now);
        }

        private void applyDecisions(long now) {
            for (PermitAction action : scheduler.decide(now)) {
                if (action instanceof PermitAction.Grant grant) {
                    Arrival arrival = arrivals.get(grant.id());
                    dispatchedAt.put(arrival.number(), now);
                    pool.dispatch(arrival, grant.upstream());
                } else if (action instanceof PermitAction.Refuse refuse) {
                    pool.refuse(arrivals.get(refuse.id()));
                }
            }
        }

        private PermitId permitIdOf(Arrival arrival) {
            long attempt = attempts.getOrDefault(arrival.number(), 0);
            return new PermitId("entry", 1, arrival.number() + attempt * SEQUENCES_PER_ATTEMPT);
        }
    }
}
