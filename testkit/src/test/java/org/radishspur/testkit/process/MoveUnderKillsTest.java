package org.radishspur.testkit.process;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.codec.Json;
import org.radishspur.model.error.ErrorCode;
import org.radishspur.model.request.Tier;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.RouteRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.model.table.UpstreamRow;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Moves one route to a working version and another one to a failing version, and kills the control leader during the
 * moves.
 */
class MoveUnderKillsTest {
    private static final long MOVE_WINDOW_MILLIS = 64_000;
    private static final long MOVE_WINDOW_SECONDS = MOVE_WINDOW_MILLIS / 1_000;
    private static final long REQUEST_INTERVAL_MILLIS = 12;

    @TempDir
    Path folder;

    private static RouteRow routeToVersion(String name, String version, long completeBy) {
        return new RouteRow(
                name,
                List.of(),
                "/" + name,
                name,
                true,
                false,
                Tier.NORMAL,
                Tier.NORMAL,
                20_000,
                20_000,
                1_000,
                version,
                completeBy);
    }

    private static RowChange.PutPool putPool(String name, List<UpstreamRow> upstreams) {
        return new RowChange.PutPool(ProcessCluster.poolRow(name, PoolKind.SERVICE, upstreams), 0);
    }

    private static JsonNode moveStatus(ProcessCluster cluster, String node, String route) {
        String body = cluster.getAdmin(node, "/v1/status");
        if (!body.isEmpty()) {
            for (JsonNode move :
                    Json.INSTANCE.readTree(body, ErrorCode.CALL_INVALID).path("moves")) {
                if (move.path("route").asText().equals(route)) {
                    return move;
                }
            }
        }
        return MissingNode.getInstance();
    }

    private static void send(ProcessCluster cluster, String node, String route, int number) {
        HttpRequest request = HttpRequest.newBuilder(cluster.callerUri(node, "/" + route))
                .header("Radishspur-Organisation", "kiraz")
                .POST(HttpRequest.BodyPublishers.ofString("diff " + number))
                .build();
        cluster.client().sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    /**
     * Guards against a failing version that stays on its route, and a working one that never gets all requests of its
     * route.
     */
    @Test
    void aMoveToAGoodVersionCompletesAndAMoveToABadVersionIsRolledBack() {
        try (ProcessCluster cluster = new ProcessCluster(folder);
                LoadExecutor load = new LoadExecutor()) {
            TableEdit install = new TableEdit(
                    "install",
                    List.of(
                            putPool(
                                    "good",
                                    List.of(
                                            cluster.startServiceVersion("good-1", "1", false),
                                            cluster.startServiceVersion("good-2", "2", false))),
                            putPool(
                                    "bad",
                                    List.of(
                                            cluster.startServiceVersion("bad-1", "1", false),
                                            cluster.startServiceVersion("bad-2", "2", true))),
                            new RowChange.PutRoute(routeToVersion("good", "1", 0), 0),
                            new RowChange.PutRoute(routeToVersion("bad", "1", 0), 0)));
            ProcessCluster.await(() -> cluster.submitEdit("a", install) == 200);
            ProcessCluster.await(() -> ProcessCluster.NODES.stream().allMatch(node -> cluster.revision(node) == 1));
            String leader = cluster.leader();
            List<String> otherNodes = ProcessCluster.NODES.stream()
                    .filter(node -> !node.equals(leader))
                    .toList();
            AtomicInteger lastNumber = new AtomicInteger();
            load.executor.scheduleAtFixedRate(
                    () -> {
                        int number = lastNumber.incrementAndGet();
                        send(cluster, otherNodes.get(number % 2), number % 4 < 2 ? "good" : "bad", number);
                    },
                    0,
                    REQUEST_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            ProcessCluster.await(() -> cluster.startedRequests("bad-1").size() > 60
                    && cluster.startedRequests("good-1").size() > 60);
            long completeBy = System.currentTimeMillis() + MOVE_WINDOW_MILLIS;
            TableEdit move = new TableEdit(
                    "move",
                    List.of(
                            new RowChange.PutRoute(routeToVersion("good", "2", completeBy), 1),
                            new RowChange.PutRoute(routeToVersion("bad", "2", completeBy), 1)));
            ProcessCluster.await(() -> cluster.submitEdit(otherNodes.get(0), move) == 200);
            cluster.kill(leader);
            ProcessCluster.await(() -> moveStatus(cluster, otherNodes.get(0), "bad")
                    .path("state")
                    .asText()
                    .equals("TAKEN_BACK"));
            assertThat(moveStatus(cluster, otherNodes.get(1), "bad")
                            .path("reason")
                            .asText())
                    .isEqualTo("FAILS_OUTRIGHT");
            int badVersionRequests = cluster.startedRequests("bad-2").size();
            assertThat(badVersionRequests).isBetween(1, 3);
            ProcessCluster.awaitWithin(
                    MOVE_WINDOW_SECONDS,
                    () -> moveStatus(cluster, otherNodes.get(0), "good")
                            .path("state")
                            .asText()
                            .equals("COMPLETED"));
            assertThat(cluster.startedRequests("good-2").size()).isGreaterThan(100);
            assertThat(cluster.startedRequests("bad-2")).hasSize(badVersionRequests);
        }
    }

    /**
     * Holds the executor that sends the requests, and shuts it down when it is closed.
     */
    private static final class LoadExecutor implements AutoCloseable {
        private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

        @Override
        public void close() {
            executor.shutdownNow();
        }
    }
}
