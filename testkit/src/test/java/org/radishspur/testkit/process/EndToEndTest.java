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
    private static final int CONCURRENT = 1_000;
    private static final int GREATEST_TOKENS = 100;

    @TempDir
    Path folder;

    /** Sends one request and returns how it ended, as its caller sees it. */
    private static CompletableFuture<Ending> send(
            ProcessCluster cluster, String node, String path, String name, String key, int tokens) {
        HttpRequest.Builder request = HttpRequest.newBuilder(cluster.caller(node, path))
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
                        ? new Ending(name, 0, "")
                        : new Ending(name, response.statusCode(), response.body()));
    }

    private static String expectedStream(String name, int tokens) {
        StringBuilder expected = new StringBuilder();
        for (int token = 0; token < tokens; token++) {
            expected.append(StandInUpstream.token("body of " + name, token));
        }
        return expected.toString();
    }

    private static int tokensOf(int number) {
        return number % 10 == 0 ? GREATEST_TOKENS : 1 + number % 7;
    }

    /**
     * Holds what a caller got.
     *
     * @param name the name of the request.
     * @param status the HTTP status, or 0 where the connection broke.
     * @param body the body.
     */
    record Ending(String name, int status, String body) {
        boolean saysNotRun() {
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
                List<CompletableFuture<Ending>> sent = new ArrayList<>();
                for (int number = 0; number < CONCURRENT; number++) {
                    String node = ProcessCluster.NODES.get(number % 3);
                    sent.add(send(cluster, node, "/stream", "r" + number, "", tokensOf(number)));
                }
                for (int number = 0; number < CONCURRENT; number++) {
                    Ending ending = sent.get(number).join();
                    assertThat(ending.status()).as(ending.body()).isEqualTo(200);
                    assertThat(ending.body()).isEqualTo(expectedStream("r" + number, tokensOf(number)));
                }
            }
        }

        /** Guards against a failure in which a caller's answer stops in the middle when a node is stopped as planned. */
        @Test
        void aPlannedStopCutsNothingOff() {
            try (ProcessCluster cluster = new ProcessCluster(folder)) {
                UpstreamRow engine = cluster.startUpstream("slow", PoolKind.ENGINE, 20_000);
                cluster.installTables(List.of(engine), List.of());
                List<CompletableFuture<Ending>> sent = new ArrayList<>();
                for (int number = 0; number < 6; number++) {
                    sent.add(send(cluster, "b", "/stream", "long" + number, "", GREATEST_TOKENS));
                }
                ProcessCluster.await(() -> cluster.started("slow").size() == 6);
                cluster.terminate("b");
                for (int number = 0; number < 6; number++) {
                    assertThat(sent.get(number).join().body())
                            .isEqualTo(expectedStream("long" + number, GREATEST_TOKENS));
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
                List<CompletableFuture<Ending>> sent = new ArrayList<>();
                Random random = new Random(7);
                for (int number = 0; number < 400; number++) {
                    String node = ProcessCluster.NODES.get(random.nextInt(3));
                    sent.add(send(cluster, node, "/stream", "s" + number, "", tokensOf(number)));
                    sent.add(sendUntilFinal(cluster, node, "k" + number, 8));
                }
                sent.forEach(each -> each.thenRun(finished::incrementAndGet));
                ProcessCluster.await(() -> finished.get() > 80);
                cluster.kill("fast");
                ProcessCluster.await(() -> finished.get() > 160);
                cluster.kill(leader);
                check(cluster, sent);
            }
        }

        private CompletableFuture<Ending> sendUntilFinal(
                ProcessCluster cluster, String node, String key, int triesLeft) {
            return send(cluster, node, "/record", key, key, 1).thenCompose(ending -> {
                boolean again = ending.status() == 0
                        || ending.saysNotRun()
                        || ending.body().contains("in-progress");
                if (!again || triesLeft == 0) {
                    return CompletableFuture.completedFuture(ending);
                }
                String other = ProcessCluster.NODES.get((ProcessCluster.NODES.indexOf(node) + 1) % 3);
                var later = CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS);
                return CompletableFuture.supplyAsync(() -> other, later)
                        .thenCompose(next -> sendUntilFinal(cluster, next, key, triesLeft - 1));
            });
        }

        private void check(ProcessCluster cluster, List<CompletableFuture<Ending>> sent) {
            List<String> ran = new ArrayList<>();
            for (String upstream : List.of("fast", "slow", "first", "second")) {
                ran.addAll(cluster.started(upstream));
            }
            int whole = 0;
            for (CompletableFuture<Ending> each : sent) {
                Ending ending = each.join();
                String expected = ending.name().startsWith("k")
                        ? StandInUpstream.serviceAnswer("body of " + ending.name())
                        : expectedStream(
                                ending.name(),
                                tokensOf(Integer.parseInt(ending.name().substring(1))));
                if (ending.status() == 200) {
                    assertThat(ending.body()).isEqualTo(expected);
                    whole++;
                } else if (ending.status() != 0) {
                    assertThat(ending.body()).contains("\"run\":");
                }
            }
            ran.clear();
            for (String upstream : List.of("fast", "slow", "first", "second")) {
                ran.addAll(cluster.started(upstream));
            }
            assertThat(ran).doesNotHaveDuplicates();
            HashSet<String> names = new HashSet<>(ran);
            sent.stream()
                    .map(CompletableFuture::join)
                    .filter(Ending::saysNotRun)
                    .forEach(ending -> assertThat(names).as(ending.body()).doesNotContain(ending.name()));
            assertThat(whole).isGreaterThan(sent.size() / 2);
        }
    }
}
