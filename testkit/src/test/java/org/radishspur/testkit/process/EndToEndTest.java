package org.radishspur.testkit.process;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.UpstreamRow;
import org.radishspur.testkit.upstream.StandInUpstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests through a cluster of three nodes with engines of different speed and plain services, each a process of
 * its own.
 */
class EndToEndTest {
    private static final int CONCURRENT_REQUESTS = 1_000;
    private static final int MAXIMUM_TOKENS = 100;

    @TempDir
    Path folder;

    /** Sends one request and returns its outcome as the caller sees it. */
    private static CompletableFuture<Outcome> send(
            ProcessCluster cluster, String node, String path, String name, String key, int tokens) {
        HttpRequest.Builder request = HttpRequest.newBuilder(cluster.callerUri(node, path))
                .header("Radishspur-Organisation", "organisation-" + name.length())
                .header(StandInUpstream.NAME_HEADER, name)
                .header(StandInUpstream.TOKENS_HEADER, String.valueOf(tokens))
                .timeout(java.time.Duration.ofSeconds(60))
                .POST(HttpRequest.BodyPublishers.ofString("body of " + name));
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        return cluster.client()
                .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> failure != null
                        ? new Outcome(name, 0, "")
                        : new Outcome(name, response.statusCode(), response.body()));
    }

    private static String expectedStream(String name, int tokens) {
        StringBuilder expected = new StringBuilder();
        for (int token = 0; token < tokens; token++) {
            expected.append(StandInUpstream.tokenEvent("body of " + name, token));
        }
        return expected.toString();
    }

    private static int tokenCount(int number) {
        return number % 10 == 0 ? MAXIMUM_TOKENS : 1 + number % 7;
    }

    /**
     * Holds the outcome of a request as its caller sees it.
     *
     * @param name the name of the request.
     * @param status the HTTP status, or 0 if no complete response arrived.
     * @param body the body of the response, or an empty string.
     */
    record Outcome(String name, int status, String body) {
        boolean reportsNotRun() {
            return body.contains("\"run\":\"not-run\"");
        }
    }

    @Nested
    class WithoutFaults {
        @Test
        void aThousandConcurrentCallersGetTheirOwnWholeAnswers() {
            try (ProcessCluster cluster = new ProcessCluster(folder)) {
                List<UpstreamRow> engines = List.of(
                        cluster.startUpstream("fast", PoolKind.ENGINE, 500),
                        cluster.startUpstream("slow", PoolKind.ENGINE, 2_000));
                cluster.installTables(engines, List.of(cluster.startUpstream("records", PoolKind.SERVICE, 500)));
                List<CompletableFuture<Outcome>> sent = new ArrayList<>();
                for (int number = 0; number < CONCURRENT_REQUESTS; number++) {
                    String node = ProcessCluster.NODES.get(number % 3);
                    sent.add(send(cluster, node, "/stream", "r" + number, "", tokenCount(number)));
                }
                for (int number = 0; number < CONCURRENT_REQUESTS; number++) {
                    Outcome outcome = sent.get(number).join();
                    assertThat(outcome.status()).as(outcome.body()).isEqualTo(200);
                    assertThat(outcome.body()).isEqualTo(expectedStream("r" + number, tokenCount(number)));
                }
            }
        }

        /** Guards against answers that are truncated when their node is stopped as planned. */
        @Test
        void aPlannedStopTruncatesNoAnswer() {
            try (ProcessCluster cluster = new ProcessCluster(folder)) {
                UpstreamRow engine = cluster.startUpstream("slow", PoolKind.ENGINE, 20_000);
                cluster.installTables(List.of(engine), List.of());
                List<CompletableFuture<Outcome>> sent = new ArrayList<>();
                for (int number = 0; number < 6; number++) {
                    sent.add(send(cluster, "b", "/stream", "long" + number, "", MAXIMUM_TOKENS));
                }
                ProcessCluster.await(() -> cluster.startedRequests("slow").size() == 6);
                cluster.terminate("b");
                for (int number = 0; number < 6; number++) {
                    assertThat(sent.get(number).join().body())
                            .isEqualTo(expectedStream("long" + number, MAXIMUM_TOKENS));
                }
                ProcessCluster.await(() -> !cluster.isAlive("b"));
                assertThat(send(cluster, "a", "/stream", "after", "", 3).join().body())
                        .isEqualTo(expectedStream("after", 3));
            }
        }
    }

    @Nested
    class UnderKills {
        /**
         * Guards against a request that runs twice, and a refusal that reports a request as not run although it ran.
         */
        @Test
        void everyRequestRunsAtMostOnceAndRefusalsAreTrue() {
            try (ProcessCluster cluster = new ProcessCluster(folder)) {
                List<UpstreamRow> engines = List.of(
                        cluster.startUpstream("fast", PoolKind.ENGINE, 3_000),
                        cluster.startUpstream("slow", PoolKind.ENGINE, 6_000));
                List<UpstreamRow> services = List.of(
                        cluster.startUpstream("first", PoolKind.SERVICE, 20_000),
                        cluster.startUpstream("second", PoolKind.SERVICE, 20_000));
                cluster.installTables(engines, services);
                String leader = cluster.leader();
                AtomicInteger finished = new AtomicInteger();
                List<CompletableFuture<Outcome>> sent = new ArrayList<>();
                Random random = new Random(7);
                for (int number = 0; number < 400; number++) {
                    String node = ProcessCluster.NODES.get(random.nextInt(3));
                    sent.add(send(cluster, node, "/stream", "s" + number, "", tokenCount(number)));
                    sent.add(sendUntilConclusive(cluster, node, "k" + number, 8));
                }
                sent.forEach(pending -> pending.thenRun(finished::incrementAndGet));
                ProcessCluster.await(() -> finished.get() > 80);
                cluster.kill("fast");
                ProcessCluster.await(() -> finished.get() > 160);
                cluster.kill(leader);
                checkOutcomes(cluster, sent);
            }
        }

        /**
         * Sends a request with an idempotency key, and retries it at the next node until its outcome is conclusive or
         * no retry is left.
         */
        private CompletableFuture<Outcome> sendUntilConclusive(
                ProcessCluster cluster, String node, String key, int retriesLeft) {
            return send(cluster, node, "/record", key, key, 1).thenCompose(outcome -> {
                boolean retry = outcome.status() == 0
                        || outcome.reportsNotRun()
                        || outcome.body().contains("in-progress");
                if (!retry || retriesLeft == 0) {
                    return CompletableFuture.completedFuture(outcome);
                }
                String nextNode = ProcessCluster.NODES.get((ProcessCluster.NODES.indexOf(node) + 1) % 3);
                var delayedExecutor = CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS);
                return CompletableFuture.supplyAsync(() -> nextNode, delayedExecutor)
                        .thenCompose(next -> sendUntilConclusive(cluster, next, key, retriesLeft - 1));
            });
        }

        private void checkOutcomes(ProcessCluster cluster, List<CompletableFuture<Outcome>> sent) {
            List<String> started = new ArrayList<>();
            for (String upstream : List.of("fast", "slow", "first", "second")) {
                started.addAll(cluster.startedRequests(upstream));
            }
            int answered = 0;
            for (CompletableFuture<Outcome> pending : sent) {
                Outcome outcome = pending.join();
                String expected = outcome.name().startsWith("k")
                        ? StandInUpstream.serviceAnswer("body of " + outcome.name())
                        : expectedStream(
                                outcome.name(),
                                tokenCount(Integer.parseInt(outcome.name().substring(1))));
                if (outcome.status() == 200) {
                    assertThat(outcome.body()).isEqualTo(expected);
                    answered++;
                } else if (outcome.status() != 0) {
                    assertThat(outcome.body()).contains("\"run\":");
                }
            }
            started.clear();
            for (String upstream : List.of("fast", "slow", "first", "second")) {
                started.addAll(cluster.startedRequests(upstream));
            }
            assertThat(started).doesNotHaveDuplicates();
            HashSet<String> names = new HashSet<>(started);
            sent.stream()
                    .map(CompletableFuture::join)
                    .filter(Outcome::reportsNotRun)
                    .forEach(outcome -> assertThat(names).as(outcome.body()).doesNotContain(outcome.name()));
            assertThat(answered).isGreaterThan(sent.size() / 2);
        }
    }
}
