package org.radishspur.testkit.process;

import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishspur.model.codec.Json;
import org.radishspur.model.table.PoolKind;
import org.radishspur.model.table.PoolRow;
import org.radishspur.model.table.RowChange;
import org.radishspur.model.table.TableEdit;
import org.radishspur.node.NodeMain;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Edits the tables of a cluster of processes while control nodes are killed, suspended and replaced after the loss of a
 * disk.
 */
class ControlUnderKillsTest {
    @TempDir
    Path folder;

    private static TableEdit createPoolEdit(int number) {
        PoolRow row = new PoolRow("pool-" + number, PoolKind.SERVICE, List.of(), number + 1, 1, Map.of());
        return new TableEdit("change-" + number, List.of(new RowChange.PutPool(row, 0)));
    }

    /** Submits an edit to each node in turn until one accepts it, as an operator's script would. */
    private static void submitUntilAccepted(ProcessCluster cluster, int number) {
        int[] attempts = {number};
        ProcessCluster.await(() -> {
            String node = ProcessCluster.NODES.get(attempts[0]++ % 3);
            return cluster.isAlive(node) && cluster.submitEdit(node, createPoolEdit(number)) == 200;
        });
    }

    private static void assertEditsAppliedOnLiveNodes(ProcessCluster cluster, int edits) {
        for (String node : ProcessCluster.NODES) {
            if (cluster.isAlive(node)) {
                ProcessCluster.await(() -> cluster.revision(node) == edits);
                String tables = cluster.getAdmin(node, "/v1/tables");
                for (int number = 0; number < edits; number++) {
                    assertThat(tables).contains("\"pool-" + number + "\"");
                }
            }
        }
    }

    /** Guards against an accepted edit that is lost or applied twice when the leader is killed. */
    @Test
    void noEditIsLostOrAppliedTwiceWhenTheLeaderIsKilled() {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            ProcessCluster.await(() -> !cluster.leader().isEmpty());
            String leader = cluster.leader();
            for (int number = 0; number < 60; number++) {
                if (number == 30) {
                    cluster.kill(leader);
                }
                submitUntilAccepted(cluster, number);
            }
            assertEditsAppliedOnLiveNodes(cluster, 60);
            cluster.startNode(leader);
            assertEditsAppliedOnLiveNodes(cluster, 60);
            assertThat(cluster.submitEdit("a", createPoolEdit(7))).isEqualTo(200);
            assertThat(cluster.revision("a")).isEqualTo(60);
        }
    }

    /**
     * Guards against a suspended leader that, once resumed, accepts an edit or reports outdated rows as the current
     * ones.
     */
    @Test
    void aResumedLeaderReportsNoStaleRevisionAndCatchesUp() {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            ProcessCluster.await(() -> !cluster.leader().isEmpty());
            submitUntilAccepted(cluster, 0);
            String leader = cluster.leader();
            List<String> otherNodes = new ArrayList<>(ProcessCluster.NODES);
            otherNodes.remove(leader);
            cluster.sendSignal(leader, "STOP");
            for (int number = 1; number < 10; number++) {
                TableEdit edit = createPoolEdit(number);
                ProcessCluster.await(() -> cluster.submitEdit(otherNodes.get(0), edit) == 200);
            }
            cluster.sendSignal(leader, "CONT");
            String status = cluster.getAdmin(leader, "/v1/status");
            if (status.contains("\"leader\"")) {
                assertThat(status).contains("\"revision\":10");
            }
            assertEditsAppliedOnLiveNodes(cluster, 10);
        }
    }

    /** Guards against edits that are lost when a node gets an empty disk and the leader is killed afterwards. */
    @Test
    void noEditIsLostWhenAReplicaIsReplacedAndTheLeaderIsKilled() throws Exception {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            ProcessCluster.await(() -> !cluster.leader().isEmpty());
            for (int number = 0; number < 20; number++) {
                submitUntilAccepted(cluster, number);
            }
            String leader = cluster.leader();
            String replaced = ProcessCluster.NODES.stream()
                    .filter(node -> !node.equals(leader))
                    .findFirst()
                    .orElseThrow();
            cluster.kill(replaced);
            deleteFolder(folder.resolve("data-" + replaced));
            NodeMain.main(new String[] {
                "format", "--settings", folder.resolve(replaced + ".json").toString()
            });
            cluster.startNode(replaced);
            ProcessCluster.await(() -> cluster.callAdmin(
                                    leader,
                                    HttpRequest.BodyPublishers.noBody(),
                                    "/v1/replicas/" + replaced + "/replace")
                            .statusCode()
                    == 200);
            ProcessCluster.await(() -> {
                String status = cluster.getAdmin(leader, "/v1/status");
                return status.contains("\"learners\":[]") && !status.contains(replaced + "#founder");
            });
            cluster.kill(leader);
            submitUntilAccepted(cluster, 20);
            assertEditsAppliedOnLiveNodes(cluster, 21);
        }
    }

    @Test
    void onlyOneOfSeveralConcurrentEditsWithTheSameExpectedRevisionIsAccepted() {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            submitUntilAccepted(cluster, 0);
            List<CompletableFuture<Integer>> answers = new ArrayList<>();
            for (int operator = 0; operator < 9; operator++) {
                String node = ProcessCluster.NODES.get(operator % 3);
                PoolRow row = new PoolRow("pool-0", PoolKind.SERVICE, List.of(), 100 + operator, 1, Map.of());
                TableEdit edit = new TableEdit("racing-" + operator, List.of(new RowChange.PutPool(row, 1)));
                answers.add(CompletableFuture.supplyAsync(() -> cluster.submitEdit(node, edit)));
            }
            List<Integer> codes = answers.stream().map(CompletableFuture::join).toList();
            assertThat(codes).filteredOn(code -> code == 200).hasSize(1);
            assertThat(codes).filteredOn(code -> code == 409).hasSize(8);
        }
    }

    @Test
    void anEditWithAWrongTokenIsRefused() throws Exception {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            ProcessCluster.await(() -> !cluster.leader().isEmpty());
            Path token = folder.resolve("admin.token");
            Files.writeString(token, "another-secret-altogether");
            assertThat(cluster.submitEdit("a", createPoolEdit(0))).isEqualTo(401);
            assertThat(Json.INSTANCE.write(createPoolEdit(0))).isNotEmpty();
        }
    }

    private static void deleteFolder(Path data) throws Exception {
        try (var files = Files.walk(data)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
