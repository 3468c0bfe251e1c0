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
 * Edits the tables through real processes while control hosts are killed, frozen and lose their disks.
 */
class ControlUnderKillsTest {
    @TempDir
    Path folder;

    private static TableEdit createPoolEdit(int number) {
        PoolRow row = new PoolRow("pool-" + number, PoolKind.SERVICE, List.of(), number + 1, 1, Map.of());
        return new TableEdit("change-" + number, List.of(new RowChange.PutPool(row, 0)));
    }

    /** Sends an edit to one node after the other until it has an answer, as an operator's script would. */
    private static void submitUntilAccepted(ProcessCluster cluster, int number) {
        int[] tries = {number};
        ProcessCluster.await(() -> {
            String node = ProcessCluster.NODES.get(tries[0]++ % 3);
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

    /** Guards against a failure in which an edit that was answered as accepted is missing, or counted twice. */
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

    /** Guards against a failure in which a host that was frozen accepts an edit or shows old rows as the latest. */
    @Test
    void aResumedLeaderReportsNoStaleRevisionAndCatchesUp() {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            ProcessCluster.await(() -> !cluster.leader().isEmpty());
            submitUntilAccepted(cluster, 0);
            String leader = cluster.leader();
            List<String> others = new ArrayList<>(ProcessCluster.NODES);
            others.remove(leader);
            cluster.sendSignal(leader, "STOP");
            for (int number = 1; number < 10; number++) {
                TableEdit edit = createPoolEdit(number);
                ProcessCluster.await(() -> cluster.submitEdit(others.get(0), edit) == 200);
            }
            cluster.sendSignal(leader, "CONT");
            String seen = cluster.getAdmin(leader, "/v1/status");
            if (seen.contains("\"leader\"")) {
                assertThat(seen).contains("\"revision\":10");
            }
            assertEditsAppliedOnLiveNodes(cluster, 10);
        }
    }

    /** Guards against a failure in which edits are gone after a disk was replaced and a second host died. */
    @Test
    void noEditIsLostWhenAReplicaIsReplacedAndTheLeaderIsKilled() throws Exception {
        try (ProcessCluster cluster = new ProcessCluster(folder)) {
            ProcessCluster.await(() -> !cluster.leader().isEmpty());
            for (int number = 0; number < 20; number++) {
                submitUntilAccepted(cluster, number);
            }
            String leader = cluster.leader();
            String lost = ProcessCluster.NODES.stream()
                    .filter(node -> !node.equals(leader))
                    .findFirst()
                    .orElseThrow();
            cluster.kill(lost);
            deleteFolder(folder.resolve("data-" + lost));
            NodeMain.main(new String[] {
                "format", "--settings", folder.resolve(lost + ".json").toString()
            });
            cluster.startNode(lost);
            ProcessCluster.await(() ->
                    cluster.callAdmin(leader, HttpRequest.BodyPublishers.noBody(), "/v1/replicas/" + lost + "/replace")
                                    .statusCode()
                            == 200);
            ProcessCluster.await(() -> {
                String status = cluster.getAdmin(leader, "/v1/status");
                return status.contains("\"learners\":[]") && !status.contains(lost + "#founder");
            });
            cluster.kill(leader);
            submitUntilAccepted(cluster, 20);
            assertEditsAppliedOnLiveNodes(cluster, 21);
        }
    }

    @Test
    void oneOfSeveralConcurrentEditsWithTheSameExpectedRevisionIsAccepted() {
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
