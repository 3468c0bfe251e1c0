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
 * Sends requests through real processes: three nodes, two engines of different speed and a records service.
 */
class EndToEndTest {
    private static final int CONCURRENT_REQUESTS = 1_000;
    private static final int MAXIMUM_TOKENS = 100;

    @TempDir
    Path folder;

    /** Sends one request and returns how it ended, as its caller sees it. */
    private static CompletableFuture<Outcome> send(
            ProcessCluster cluster, String node, String path, String name, String key, int tokens) {
        HttpRequest.Builder request = HttpRequest.newBuilder(cluster.callerUri(node, path))
                .header("Radishspur-Organisation", "organisation-" + name.length())
                .header(StandInUpstream.NAME, name)
                .header(StandInUpstream.TOKENS, String.valueOf(tokens))
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
            expected.append(StandInUpstream.token("body of " + name, token));
        }
        return expected.toString();
    }

    private static int tokenCount(int number) {
        return number % 10 == 0 ? MAXIMUM_TOKENS : 1 + number % 7;
    }

    /**
     * Holds what a caller got.
     *
     * @param name the name of the request.
     * @param status the HTTP status, or 0 where the connection broke.
     * @param body the body.
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
                    Outcome ending = sent.get(number).join();
                    assertThat(ending.status()).as(ending.body()).isEqualTo(200);
                    assertThat(ending.body()).isEqualTo(expectedStream("r" + number, tokenCount(number)));
                }
            }
        }

        /** Guards against a failure in which a caller's answer stops in the middle when a node is stopped as planned. */
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
        /** Guards against a failure in which a report is recorded twice, or a request that ran is said not to have run. */
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
                sent.forEach(each -> each.thenRun(finished::incrementAndGet));
                ProcessCluster.await(() -> finished.get() > 80);
                cluster.kill("fast");
                ProcessCluster.await(() -> finished.get() > 160);
                cluster.kill(leader);
                checkOutcomes(cluster, sent);
            }
        }

        private CompletableFuture<Outcome> sendUntilConclusive(
                ProcessCluster cluster, String node, String key, int triesLeft) {
            return send(cluster, node, "/record", key, key, 1).thenCompose(ending -> {
                boolean again = ending.status() == 0
                        || ending.reportsNotRun()
                        || ending.body().contains("in-progress");
                if (!again || triesLeft == 0) {
                    return CompletableFuture.completedFuture(ending);
                }
                String other = ProcessCluster.NODES.get((ProcessCluster.NODES.indexOf(node) + 1) % 3);
                var later = CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS);
                return CompletableFuture.supplyAsync(() -> other, later)
                        .thenCompose(next -> sendUntilConclusive(cluster, next, key, triesLeft - 1));
            });
        }

        private void checkOutcomes(ProcessCluster cluster, List<CompletableFuture<Outcome>> sent) {
            List<String> ran = new ArrayList<>();
            for (String upstream : List.of("fast", "slow", "first", "second")) {
                ran.addAll(cluster.startedRequests(upstream));
            }
            int whole = 0;
            for (CompletableFuture<Outcome> each : sent) {
                Outcome ending = each.join();
                String expected = ending.name().startsWith("k")
                        ? StandInUpstream.serviceAnswer("body of " + ending.name())
                        : expectedStream(
                                ending.name(),
                                tokenCount(Integer.parseInt(ending.name().substring(1))));
                if (ending.status() == 200) {
                    assertThat(ending.body()).isEqualTo(expected);
                    whole++;
                } else if (ending.status() != 0) {
                    assertThat(ending.body()).contains("\"run\":");
                }
            }
            ran.clear();
            for (String upstream : List.of("fast", "slow", "first", "second")) {
                ran.addAll(cluster.startedRequests(upstream));
            }
            assertThat(ran).doesNotHaveDuplicates();
            HashSet<String> names = new HashSet<>(ran);
            sent.stream()
                    .map(CompletableFuture::join)
                    .filter(Outcome::reportsNotRun)
                    .forEach(ending -> assertThat(names).as(ending.body()).doesNotContain(ending.name()));
            assertThat(whole).isGreaterThan(sent.size() / 2);
        }
    }
}
